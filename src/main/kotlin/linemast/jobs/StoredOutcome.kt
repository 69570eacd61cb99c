package linemast.jobs

import linemast.domain.OutcomeRecord
import linemast.serialization.MalformedException
import linemast.store.KeyValueStore
import linemast.store.RequestPriority
import linemast.store.StoreException
import org.slf4j.LoggerFactory

private val log = LoggerFactory.getLogger(StoredOutcome::class.java)

/** A job's outcome [record] in the store, with the [revision] of its entry. */
class StoredOutcome(val record: OutcomeRecord, val revision: Long)

/**
 * Reads the outcome of the job with [id]; returns null if the job was never accepted. Throws [StoreException] if the store
 * returns no result and [MalformedException] if the stored record cannot be decoded.
 */
suspend fun KeyValueStore.readOutcome(id: String, priority: RequestPriority = RequestPriority.NORMAL): StoredOutcome? =
    get(JobKeys.outcome(id), priority)?.let { StoredOutcome(OutcomeRecordCodec.decode(it.value), it.revision) }

/**
 * Runs [read] and converts a MalformedException into a [StoreException]: the stored record is malformed and not the user's
 * request, so the user must not get the status code of a malformed request.
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
