package linemast.store

import kotlinx.coroutines.delay
import linemast.serialization.MalformedException
import org.slf4j.Logger

/**
 * Retries calls to the key-value store with a constant delay and without a limit.
 *
 * Calls are repeated only after a [StoreException] or [MalformedException], because these failures may be temporary;
 * cancellation and other exceptions are propagated.
 *
 * @property delayMillis delay after a call that failed or returned no result.
 * @property malformedDelayMillis delay after a malformed record; a retry succeeds only after the record has changed.
 */
internal data class RetryPolicy(val delayMillis: Long, val malformedDelayMillis: Long = delayMillis) {
    /** Waits for [delayMillis] before the next attempt. */
    suspend fun pause() = delay(delayMillis)

    /**
     * Repeats [call] until it returns a value and returns that value; null is treated as no result.
     *
     * Failures are logged to [log], with the name of the [operation] first if it is given.
     */
    suspend fun <T : Any> untilResult(log: Logger, operation: String? = null, call: suspend () -> T?): T {
        while (true) tryOnce(log, operation, call)?.let { return it }
    }

    /** Repeats [call] until the coroutine is cancelled; waits only after a failure. */
    suspend fun repeatForever(log: Logger, operation: String? = null, call: suspend () -> Unit): Nothing {
        while (true) tryOnce(log, operation, call)
    }

    /** Returns the result of one [call]. If there is none, waits for the delay that belongs to the failure and returns null. */
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
