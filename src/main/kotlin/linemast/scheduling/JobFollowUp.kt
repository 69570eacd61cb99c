package linemast.scheduling

import linemast.domain.Job

/** Persists the progress of jobs, deletes the records of cancelled jobs, and removes finished ones from memory. */
internal class JobFollowUp(private val cluster: Cluster, private val effects: ClusterEffects) {
    /** Requests the writes that are due for [job]; removes a finished job from memory once it has no task on any machine. */
    fun followUp(job: Job, nowMicros: Long) {
        val progress = job.storedProgress
        if (job.finished) {
            if (job.placements.isEmpty()) cluster.jobs.remove(job.id)
        } else if (job.cancelled) {
            if (cluster.failover.isReconciledFor(job) && job.placements.isEmpty() && !progress.isWriting) effects.deleteCancelledJob(job)
        } else if (!progress.isWriting && !progress.dirtyParts.isEmpty) {
            // Progress is written at intervals, since each write takes store capacity that submissions and ends of jobs need.
            if (!job.isDone && nowMicros < progress.lastWriteMicros + PROGRESS_INTERVAL_MICROS) return
            progress.lastWriteMicros = nowMicros
            effects.persistProgress(job)
        }
    }

    private companion object {
        const val PROGRESS_INTERVAL_MICROS = 5_000_000L
    }
}
