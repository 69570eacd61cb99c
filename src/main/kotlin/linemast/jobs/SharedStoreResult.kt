package linemast.jobs

import kotlinx.coroutines.CancellationException
import linemast.store.StoreException

/**
 * Returns the result or the failure of [call] for several callers that wait for it.
 *
 * The coroutine that makes the call is cancelled when the controller stops. This must not cancel the callers that only wait
 * for the result, so they get a [StoreException] instead.
 */
internal suspend fun <T> sharedStoreResult(call: suspend () -> T): Result<T> = try {
    Result.success(call())
} catch (e: StoreException) {
    Result.failure(e)
} catch (e: CancellationException) {
    Result.failure(StoreException.ReadAborted("the controller is stopping"))
}
