package linemast.jobs

import linemast.domain.JobOutcome
import linemast.domain.JobSpec
import linemast.domain.MachineType
import linemast.domain.OutcomeRecord
import linemast.store.CommitResult
import linemast.store.Entry
import linemast.store.KeyValueStore
import linemast.store.Precondition
import linemast.store.RequestPriority
import linemast.store.Write

/** Cancels jobs by a compare-and-swap on their stored outcome; the leader stops their tasks when it sees the change. */
internal class CancellationHandler(
    private val store: KeyValueStore,
    private val outcomes: OutcomeReader,
    private val statusReporter: JobStatusReporter,
    private val machineTypes: () -> List<MachineType>?,
) {
    /**
     * Cancels the job with [id] unless its outcome is already terminal, and returns its status. A repeated cancellation
     * changes nothing. Throws [linemast.store.StoreException] if the store returns no result.
     */
    suspend fun cancel(id: String): JobResponse {
        if (!JobSpec.isId(id)) return JobResponse.NotFound
        repeat(MAX_ATTEMPTS) {
            outcomes.cachedTerminal(id)?.let { return statusReporter.status(id, it) }
            val stored = readStoredRecord { store.readOutcome(id, RequestPriority.HIGH) } ?: return JobResponse.NotFound
            if (stored.record.outcome.isTerminal) return statusReporter.status(id, outcomes.cacheOutcome(id, stored.record))
            val jobEntry = readJobEntry(id, hasDependencies = stored.record.dependencies.isNotEmpty()) ?: return@repeat
            val cancelled = OutcomeRecord(JobOutcome.CANCELLED, stored.record.taskCount)
            val result = commit(id, stored, jobEntry, cancelled)
            if (result is CommitResult.Applied) return statusReporter.status(id, outcomes.cacheOutcome(id, cancelled))
        }
        return JobResponse.Unavailable
    }

    /**
     * Returns the entry of the job's record. The key of a blocked job is read first: the leader releases a blocked job in one
     * transaction that moves its record from that key to the key of an open job.
     */
    private suspend fun readJobEntry(id: String, hasDependencies: Boolean): Entry? {
        val blocked = if (hasDependencies) store.get(JobKeys.blocked(id), RequestPriority.HIGH) else null
        return blocked ?: store.get(JobKeys.open(id), RequestPriority.HIGH)
    }

    private suspend fun commit(id: String, stored: StoredOutcome, jobEntry: Entry, cancelled: OutcomeRecord): CommitResult {
        val outcomeKey = JobKeys.outcome(id)
        val isBlocked = jobEntry.key == JobKeys.blocked(id)
        val jobWrite = if (isBlocked) Write.Delete(jobEntry.key) else Write.Put(jobEntry.key, cancelledRecord(jobEntry))
        return store.commit(
            listOf(Precondition(outcomeKey, stored.revision), Precondition(jobEntry.key, jobEntry.revision)),
            listOf(Write.Put(outcomeKey, OutcomeRecordCodec.encode(cancelled)), jobWrite),
            RequestPriority.HIGH,
        )
    }

    /** Returns the record of an open job with the cancelled flag set, which notifies the leader of the cancellation. */
    private fun cancelledRecord(jobEntry: Entry): Map<String, Any?> {
        val record = readStoredRecord { JobRecordCodec.decode(jobEntry.value) }.with(cancelled = true)
        val types = machineTypes() ?: return JobRecordCodec.encode(record)
        return JobRecordCodec.encode(record.withKnownMachineTypes(types))
    }

    private companion object {
        const val MAX_ATTEMPTS = 4
    }
}
