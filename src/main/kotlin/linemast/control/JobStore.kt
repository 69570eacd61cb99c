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
 * Writes the progress and the ends of jobs, one write of a job at a time.
 *
 * The store applies a write only while this term leads; results are applied to the leader's state on its event loop.
 */
internal class JobStore(
    private val term: LeaderTerm,
    private val cluster: Cluster,
    private val completedTaskStore: CompletedTaskStore,
    private val openJobUpdates: OpenJobUpdates,
    private val outcomeListener: JobOutcomeListener,
) {
    private val log = LoggerFactory.getLogger(JobStore::class.java)
    private val jobOutcomeStore = JobOutcomeStore(term, completedTaskStore)

    /** Writes the changed parts of the completed tasks of [job], or the job's end if all its tasks are done. */
    fun persistProgress(job: Job) {
        job.storedProgress.isWriting = true
        term.scope.launch {
            val parts = CompletedTaskPart.changed(job, term.limits.maxTxnOps)
            val isDone = job.isDone
            val result = storeResultOrNull(log) {
                if (isDone) jobOutcomeStore.commitDone(job) else completedTaskStore.commit(job, parts)
            }
            term.eventLoop.enqueue {
                finishWrite(job, result) { revision ->
                    recordStoredParts(job, parts, revision)
                    if (isDone) finish(job) else markChangedPartsDirty(job, parts)
                }
            }
        }
    }

    /** Deletes the record of [job], which is cancelled and has no task left on any machine. */
    fun deleteCancelled(job: Job) {
        job.storedProgress.isWriting = true
        term.scope.launch {
            val result = storeResultOrNull(log) { jobOutcomeStore.commitCancelled(job) }
            term.eventLoop.enqueue { finishWrite(job, result) { cluster.jobs.remove(job.id) } }
        }
    }

    /** Applies the [result] of a write of [job]; after a write without a result the cluster state requests the write again. */
    private fun finishWrite(job: Job, result: TermCommitResult?, onApplied: (Long) -> Unit) {
        job.storedProgress.isWriting = false
        when (result) {
            is TermCommitResult.Applied -> onApplied(result.revision)
            is TermCommitResult.Conflict -> reload(job)
            TermCommitResult.LeadershipLost -> term.lease.end()
            TermCommitResult.NoResult, null -> Unit
        }
    }

    private fun recordStoredParts(job: Job, parts: List<CompletedTaskPart>, revision: Long) {
        for (part in parts) {
            job.storedProgress.dirtyParts.clear(part.index)
            job.storedProgress.partRevisions[part.index] = revision
            job.storedProgress.recordStored(part.tasks)
        }
    }

    /** Marks parts dirty that changed while the write was in progress, so that the next write contains their new tasks. */
    private fun markChangedPartsDirty(job: Job, parts: List<CompletedTaskPart>) =
        parts.filterNot { it.isUnchanged(job) }.forEach { job.storedProgress.dirtyParts.set(it.index) }

    private fun finish(job: Job) {
        log.info("{}: done, {} tasks", job.id, job.spec.taskCount)
        cluster.finish(job)
        outcomeListener.recordOutcome(job.id, JobOutcome.DONE)
    }

    /**
     * Reads [job] again after a conflict: most likely its user has cancelled it, or an earlier write that got no response
     * has been applied. A missing record means that the job has ended.
     */
    private fun reload(job: Job) {
        term.scope.launch {
            val key = JobKeys.open(job.id)
            val read = storeResultOrNull(log) { Result.success(term.store.get(key)) } ?: return@launch
            val parts = storeResultOrNull(log) { completedTaskStore.read(job.id) }
                ?: return@launch
            term.eventLoop.enqueue {
                val entry = read.getOrNull()
                openJobUpdates.apply(KeyChange(key, entry?.value, entry?.revision ?: 0L))
                if (entry != null) parts.forEach { completedTaskStore.apply(job, it, it.key.substringAfterLast('/').toInt()) }
            }
        }
    }
}
