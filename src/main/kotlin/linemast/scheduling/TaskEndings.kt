package linemast.scheduling

import linemast.domain.EndCause
import linemast.domain.Job
import linemast.domain.Machine
import linemast.domain.Placement
import linemast.domain.TaskStatus
import linemast.jobs.CompletedTaskParts
import linemast.recovery.ReconciliationStatistics
import org.slf4j.LoggerFactory

/** Records the ends of tasks: counts completed ones, delays jobs whose tasks keep failing, and reports both to [failureTracker]. */
internal class TaskEndings(private val cluster: Cluster, private val failureTracker: FailureTracker) {
    private val log = LoggerFactory.getLogger(TaskEndings::class.java)

    /**
     * Records that [task] has ended on [machine]. [placement] is null if the end was recorded before, or if the leader did not know
     * the task.
     */
    fun recordEnd(machine: Machine, task: TaskStatus, placement: Placement?, nowMicros: Long) {
        if (placement != null) cluster.remove(placement)
        val job = cluster.jobs[task.task.job]
        if (job == null) cluster.stateReconciliation?.countUnknown(task.key)
        if (job == null || task.task.index >= job.spec.taskCount) return
        when (task.cause) {
            EndCause.COMPLETED -> recordCompletion(job, task, placement, nowMicros)
            EndCause.FAILED -> recordFailure(machine, job, placement, nowMicros)
            else -> if (placement != null) log.debug("{}: ended on {}: {}", task.task, machine.name, task.cause)
        }
    }

    private fun recordCompletion(job: Job, task: TaskStatus, placement: Placement?, nowMicros: Long) {
        job.failures.recordSuccess()
        if (placement != null) failureTracker.recordCompletion(placement, nowMicros)
        if (placement != null) measureRunTime(job, placement, nowMicros)
        if (job.finished || job.cancelled) return
        // A gang completes as a whole: the completion of one of its tasks is the completion of all.
        val indices = if (job.spec.isGang) 0 until job.spec.taskCount else task.task.index..task.task.index
        for (index in indices) {
            if (!job.markCompleted(index)) continue
            job.storedProgress.dirtyParts.set(CompletedTaskParts.partOf(index))
            cluster.stateReconciliation?.count(ReconciliationStatistics.Difference.UNSTORED_RESULT)
        }
        cluster.needsScheduling = true
    }

    private fun measureRunTime(job: Job, placement: Placement, nowMicros: Long) {
        if (placement.runningSinceMicros == 0L || job.spec.isGang) return
        val runMicros = nowMicros - placement.runningSinceMicros
        job.runTimes.add(runMicros)
        cluster.runTimeEstimates.recordFinished(job.spec, runMicros)
    }

    private fun recordFailure(machine: Machine, job: Job, placement: Placement?, nowMicros: Long) {
        if (!failureTracker.recordFailure(machine, job, placement, nowMicros)) return
        log.debug("{}: a task failed on {}, {} failures since the last completed task", job.id, machine.name, job.failures.count)
        cluster.needsScheduling = true
    }
}
