package linemast.jobs

import kotlinx.coroutines.CancellationException
import linemast.store.StoreException

/**
 * The result of [call] for callers that share it.
 *
 * The coroutine that makes the call is cancelled when the controller stops. That must not cancel those who only wait for
 * its result, so they get a [StoreException] instead.
 */
internal suspend fun <T> sharedStoreResult(call: suspend () -> T): Result<T> = try {
    Result.success(call())
} catch (e: StoreException) {
    Result.failure(e)
} catch (e: CancellationException) {
    Result.failure(StoreException.ReadAborted("the controller is stopping"))
}
