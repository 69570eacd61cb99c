package linemast.store

import kotlinx.coroutines.delay
import linemast.serialization.MalformedException
import org.slf4j.Logger

/**
 * How long to wait before a call to the key-value store is repeated: always the same time, for as long as it takes.
 *
 * Only [StoreException] and [MalformedException] are failures that a repetition may mend; cancellation and other
 * exceptions pass through.
 *
 * @property delayMillis wait after a call that failed or gave no result.
 * @property malformedDelayMillis wait after a malformed record, which only a change of the record mends.
 */
internal data class RetryPolicy(val delayMillis: Long, val malformedDelayMillis: Long = delayMillis) {
    /** Waits before the next attempt. */
    suspend fun pause() = delay(delayMillis)

    /**
     * Repeats [call] until it returns a value; a null counts as no result.
     *
     * Failures are logged to [log], after the name of the [operation] if one is given.
     */
    suspend fun <T : Any> untilResult(log: Logger, operation: String? = null, call: suspend () -> T?): T {
        while (true) tryOnce(log, operation, call)?.let { return it }
    }

    /** Repeats [call] until the coroutine is cancelled; only a failure is followed by a wait. */
    suspend fun repeatForever(log: Logger, operation: String? = null, call: suspend () -> Unit): Nothing {
        while (true) tryOnce(log, operation, call)
    }

    /** The result of one [call]; without one, null after the wait that its failure asks for. */
    private suspend fun <T> tryOnce(log: Logger, operation: String?, call: suspend () -> T?): T? {
        val waitMillis = try {
            call()?.let { return it }
            delayMillis
        } catch (e: StoreException) {
            logFailure(log, operation, e)
            delayMillis
        } catch (e: MalformedException) {
            logMalformed(log, operation, e)
            malformedDelayMillis
        }
        delay(waitMillis)
        return null
    }
}
