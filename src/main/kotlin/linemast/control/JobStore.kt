package linemast.control

import kotlinx.coroutines.launch
import linemast.domain.Job
import linemast.domain.JobOutcome
import linemast.jobs.JobKeys
import linemast.scheduling.Cluster
import linemast.store.KeyChange
import linemast.store.storeResultOrNull
import org.slf4j.LoggerFactory

/**
 * Stores the progress and the ends of jobs, one write of a job at a time.
 *
 * Every write depends on the leadership; results are applied in turns of the leader's event loop.
 */
internal class JobStore(
    private val term: LeaderTerm,
    private val cluster: Cluster,
    private val completedTasks: CompletedTaskStore,
    private val openJobUpdates: OpenJobUpdates,
    private val outcomeListener: JobOutcomeListener,
) {
    private val log = LoggerFactory.getLogger(JobStore::class.java)
    private val outcomes = JobOutcomeStore(term, completedTasks)

    /** Stores the changed parts of the completed tasks of [job], or its end if all its tasks are done. */
    fun storeProgress(job: Job) {
        job.storedProgress.isWriting = true
        term.scope.launch {
            val parts = CompletedTaskPart.changed(job, term.limits.maxTxnOps)
            val isDone = job.isDone
            val result = storeResultOrNull(log) { if (isDone) outcomes.commitDone(job) else completedTasks.commit(job, parts) }
            term.loop.run {
                settle(job, result) { revision ->
                    partsStored(job, parts, revision)
                    if (isDone) finish(job) else keepChanged(job, parts)
                }
            }
        }
    }

    /** Deletes the record of [job], which is cancelled and has no task left anywhere. */
    fun deleteCancelled(job: Job) {
        job.storedProgress.isWriting = true
        term.scope.launch {
            val result = storeResultOrNull(log) { outcomes.commitCancelled(job) }
            term.loop.run { settle(job, result) { cluster.jobs.remove(job.id) } }
        }
    }

    /** Ends the write of [job]; without a result the cluster state asks for the write again. */
    private fun settle(job: Job, result: TermCommitResult?, onApplied: (Long) -> Unit) {
        job.storedProgress.isWriting = false
        when (result) {
            is TermCommitResult.Applied -> onApplied(result.revision)
            is TermCommitResult.Conflict -> refresh(job)
            TermCommitResult.LeadershipLost -> term.lease.end()
            TermCommitResult.NoResult, null -> Unit
        }
    }

    private fun partsStored(job: Job, parts: List<CompletedTaskPart>, revision: Long) {
        for (part in parts) {
            job.storedProgress.dirtyParts.clear(part.part)
            job.storedProgress.partRevisions[part.part] = revision
        }
    }

    /** Tasks completed while the write was under way are in the next one. */
    private fun keepChanged(job: Job, parts: List<CompletedTaskPart>) =
        parts.filterNot { it.isCurrent(job) }.forEach { job.storedProgress.dirtyParts.set(it.part) }

    private fun finish(job: Job) {
        log.info("{}: done, {} tasks", job.id, job.spec.taskCount)
        cluster.finish(job)
        outcomeListener.jobEnded(job.id, JobOutcome.DONE)
    }

    /**
     * Reads [job] again, since its record is not what it was taken for: most likely its user has cancelled it, or a write
     * without an answer has been applied. A missing record means that the job has ended.
     */
    private fun refresh(job: Job) {
        term.scope.launch {
            val key = JobKeys.open(job.id)
            val read = storeResultOrNull(log) { Result.success(term.store.get(key)) } ?: return@launch
            val parts = storeResultOrNull(log) { completedTasks.read(job.id) } ?: return@launch
            term.loop.run {
                val entry = read.getOrNull()
                openJobUpdates.apply(KeyChange(key, entry?.value, entry?.revision ?: 0L))
                if (entry != null) parts.forEach { completedTasks.apply(job, it, it.key.substringAfterLast('/').toInt()) }
            }
        }
    }
}
