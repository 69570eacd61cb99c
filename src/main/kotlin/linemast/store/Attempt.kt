package linemast.store

import kotlinx.coroutines.CancellationException
import linemast.serialization.MalformedException
import org.slf4j.Logger

/** The result of a store call, or null if it gave none. */
internal suspend fun <T> attempt(log: Logger, call: suspend () -> T?): T? = try {
    call()
} catch (e: CancellationException) {
    throw e
} catch (e: StoreException) {
    log.debug("{}", e.message)
    null
} catch (e: MalformedException) {
    log.error("malformed record: {}", e.message)
    null
}
