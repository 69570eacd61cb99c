package linemast.store

import linemast.serialization.MalformedException
import org.slf4j.Logger

/**
 * Returns the result of [call], or null if the key-value store returned none or a record is malformed.
 *
 * Failures are logged: a failed call at debug level, because such failures are expected during outages, a malformed record as
 * an error. [operation] precedes the message in the log unless it is null. Cancellation and other exceptions are propagated.
 */
internal suspend fun <T> storeResultOrNull(log: Logger, operation: String? = null, call: suspend () -> T?): T? = try {
    call()
} catch (e: StoreException) {
    logFailure(log, operation, e)
    null
} catch (e: MalformedException) {
    logMalformed(log, operation, e)
    null
}

internal fun logFailure(log: Logger, operation: String?, failure: StoreException) {
    if (operation == null) log.debug("store call failed: {}", failure.message) else log.debug("{} failed: {}", operation, failure.message)
}

internal fun logMalformed(log: Logger, operation: String?, failure: MalformedException) {
    if (operation == null) {
        log.error("malformed record: {}", failure.message)
    } else {
        log.error("{}: malformed record: {}", operation, failure.message)
    }
}
