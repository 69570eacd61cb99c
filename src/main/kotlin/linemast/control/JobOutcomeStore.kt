package linemast.control

import linemast.domain.Job
import linemast.domain.JobOutcome
import linemast.domain.OutcomeRecord
import linemast.jobs.JobKeys
import linemast.jobs.OutcomeRecordCodec
import linemast.store.Precondition
import linemast.store.RequestPriority
import linemast.store.Write

/** Listens for terminal outcomes of jobs. Called on the leader's event loop. */
internal fun interface JobOutcomeListener {
    /** Records that the store holds the terminal [outcome] for the job [id]. */
    fun recordOutcome(id: String, outcome: JobOutcome)
}

/** Commits the ends of jobs: writes the outcome and deletes the record. */
internal class JobOutcomeStore(private val term: LeaderTerm, private val completedTaskStore: CompletedTaskStore) {
    /** Commits that all tasks of [job] are done; returns a conflict if the store has no outcome of the job or a terminal one. */
    suspend fun commitDone(job: Job): TermCommitResult {
        val entry = term.store.get(JobKeys.outcome(job.id), RequestPriority.HIGH) ?: return TermCommitResult.Conflict(emptyList())
        if (OutcomeRecordCodec.decode(entry.value).outcome.isTerminal) return TermCommitResult.Conflict(emptyList())
        val outcome = OutcomeRecord(JobOutcome.DONE, job.spec.taskCount)
        val write = Write.Put(entry.key, OutcomeRecordCodec.encode(outcome))
        return commitEnd(job, listOf(write), Precondition(entry.key, entry.revision))
    }

    /** Deletes the record of a cancelled job, whose outcome was written with the cancellation. */
    suspend fun commitCancelled(job: Job): TermCommitResult = commitEnd(job, emptyList(), Precondition(JobKeys.open(job.id), job.revision))

    /** Deletes the record and as many parts of the completed tasks as fit the transaction; deletes the other parts after it. */
    private suspend fun commitEnd(job: Job, writes: List<Write>, precondition: Precondition): TermCommitResult {
        val partKeys = job.storedProgress.partRevisions.keys.map { JobKeys.completedTasksPart(job.id, it) }
        val requiredWrites = writes + Write.Delete(JobKeys.open(job.id))
        val remainingOps = term.limits.maxTxnOps - requiredWrites.size
        val deletions = partKeys.take(remainingOps).map { Write.Delete(it) }
        val result = term.commit(listOf(precondition), requiredWrites + deletions, RequestPriority.HIGH)
        if (result is TermCommitResult.Applied) completedTaskStore.delete(partKeys.drop(remainingOps))
        return result
    }
}
