package linemast.jobs

import linemast.domain.JobOutcome
import linemast.domain.JobRecord
import linemast.domain.JobSpec
import linemast.domain.OutcomeRecord
import linemast.serialization.JsonSize
import linemast.serialization.MalformedException
import linemast.store.CommitResult
import linemast.store.KeyValueStore
import linemast.store.Precondition
import linemast.store.RequestPriority
import linemast.store.Write
import linemast.time.Clock

/** Result of an attempt to write a new job to the store. */
internal enum class JobWriteResult {
    /** The job was written. */
    WRITTEN,

    /** The store already has a job with this id. */
    EXISTS,

    /** The store did not apply the transaction for another reason. */
    FAILED,
}

/** Writes new jobs to the store. */
internal class JobWriter(
    private val store: KeyValueStore,
    private val outcomes: OutcomeReader,
    private val clock: Clock,
    private val wallMicros: () -> Long,
    private val maxValueBytes: Int,
) {
    /**
     * Writes [spec] with its [outcome] unless the store already has a job with its id. Throws [MalformedException] if the job
     * exceeds the size limit of a stored value.
     */
    suspend fun write(spec: JobSpec, outcome: JobOutcome): JobWriteResult {
        val record = JobRecordCodec.encode(JobRecord(spec, wallMicros(), activated = false, cancelled = false))
        if (JsonSize.of(record) > maxValueBytes) throw MalformedException("the job record exceeds the size limit of a stored value")
        val outcomeRecord = OutcomeRecord(outcome, spec.taskCount, spec.dependencies)
        val writes = ArrayList<Write>()
        writes += Write.Put(JobKeys.outcome(spec.id), OutcomeRecordCodec.encode(outcomeRecord))
        // A job that depends on a cancelled one gets a terminal outcome at once, and no record of an open job.
        if (!outcome.isTerminal) writes += Write.Put(keyOf(spec), record)
        val sentMicros = clock.nowMicros()
        val result = store.commit(listOf(Precondition(JobKeys.outcome(spec.id), NO_REVISION)), writes, RequestPriority.HIGH)
        return when (result) {
            is CommitResult.Applied -> {
                outcomes.cacheOutcome(spec.id, outcomeRecord, sentMicros)
                JobWriteResult.WRITTEN
            }
            is CommitResult.Conflict -> JobWriteResult.EXISTS
            is CommitResult.NoSuchLease -> JobWriteResult.FAILED
        }
    }

    private fun keyOf(spec: JobSpec): String = if (spec.dependencies.isEmpty()) JobKeys.open(spec.id) else JobKeys.blocked(spec.id)

    private companion object {
        /** Revision of a key that does not exist. */
        const val NO_REVISION = 0L
    }
}
