package linemast.scheduling

import linemast.domain.Job
import linemast.domain.PendingReason

/** Determines which jobs may be scheduled now. */
internal class JobReadiness(private val cluster: Cluster, private val pendingReasons: PendingReasonLog) {
    /** Whether a start of one of the tasks of [job] may be sent. */
    fun isStartable(job: Job, nowMicros: Long): Boolean = job.activation == Job.Activation.ACTIVE &&
        !job.cancelled &&
        !job.finished &&
        nowMicros >= job.failures.backOffUntilMicros &&
        cluster.failover.isReconciledFor(job)

    /**
     * Whether [job] takes part in this scheduling cycle. If not, requests what later cycles need to include the job, and records why
     * it is pending.
     */
    fun prepare(job: Job, nowMicros: Long): Boolean {
        if (job.activation == Job.Activation.INACTIVE) cluster.activate(job)
        // No other event would trigger a scheduling cycle once the back-off is over.
        if (nowMicros < job.failures.backOffUntilMicros) cluster.needsScheduling = true
        if (isStartable(job, nowMicros)) return true
        pendingReasons.record(job, reasonNotReady(job, nowMicros))
        return false
    }

    private fun reasonNotReady(job: Job, nowMicros: Long): PendingReason = when {
        nowMicros < job.failures.backOffUntilMicros -> PendingReason.BackOff(job.failures.count)
        !cluster.failover.isReconciledFor(job) -> PendingReason.UnconfirmedTasks
        else -> PendingReason.NotActivated
    }
}
