package linemast.jobs

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import linemast.domain.JobOutcome
import linemast.domain.OutcomeRecord
import linemast.store.KeyValueStore
import linemast.store.listAll
import linemast.time.Clock

/** Caches the outcomes of all open jobs by listing their records, which takes only a few calls for any number of jobs. */
internal class OpenJobListing(
    private val store: KeyValueStore,
    private val scope: CoroutineScope,
    private val clock: Clock,
    private val cache: OutcomeCache,
) {
    private var runningListing: CompletableDeferred<Result<Unit>>? = null

    /** Lists all open jobs, or waits for a listing in progress. Throws [linemast.store.StoreException] if the listing fails. */
    suspend fun run() {
        runningListing?.let { return it.await().getOrThrow() }
        val listing = CompletableDeferred<Result<Unit>>()
        runningListing = listing
        scope.launch {
            listing.complete(sharedStoreResult { list() })
            runningListing = null
        }
        listing.await().getOrThrow()
    }

    /** Lists blocked jobs before released ones, so that a job that is released between the two reads is not missed. */
    private suspend fun list() {
        val sentMicros = clock.nowMicros()
        for (prefix in listOf(JobKeys.BLOCKED_PREFIX, JobKeys.OPEN_PREFIX)) {
            for (entry in store.listAll(prefix).entries) {
                val record = readStoredRecord { JobRecordCodec.decode(entry.value) }
                val outcome = if (record.cancelled) JobOutcome.CANCELLED else JobOutcome.OPEN
                cache.put(record.spec.id, OutcomeRecord(outcome, record.spec.taskCount, record.spec.dependencies), sentMicros)
            }
        }
    }
}
