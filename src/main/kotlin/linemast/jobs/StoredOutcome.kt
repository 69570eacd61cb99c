package linemast.jobs

import linemast.domain.OutcomeRecord
import linemast.serialization.MalformedException
import linemast.store.KeyValueStore
import linemast.store.RequestPriority
import linemast.store.StoreException
import org.slf4j.LoggerFactory

private val log = LoggerFactory.getLogger(StoredOutcome::class.java)

/** A job's outcome [record] as read from the store, with the [revision] of its entry. */
class StoredOutcome(val record: OutcomeRecord, val revision: Long)

/**
 * Reads the outcome of the job with [id]; null if the job was never accepted. Throws [StoreException] if the store gives no
 * result and [MalformedException] if the stored record cannot be decoded.
 */
suspend fun KeyValueStore.readOutcome(id: String, priority: RequestPriority = RequestPriority.NORMAL): StoredOutcome? =
    get(JobKeys.outcome(id), priority)?.let { StoredOutcome(OutcomeRecordCodec.decode(it.value), it.revision) }

/**
 * Turns a malformed stored record into a [StoreException]: the fault is the store's, and a user who asks must not get the
 * status code of a malformed request for it.
 */
internal inline fun <T> readStoredRecord(read: () -> T): T = try {
    read()
} catch (e: MalformedException) {
    throw malformedRecord(e)
}

internal fun malformedRecord(cause: MalformedException): StoreException {
    log.error("malformed record in the store: {}", cause.message)
    return StoreException.MalformedRecord()
}
