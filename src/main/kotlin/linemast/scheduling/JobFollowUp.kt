package linemast.scheduling

import linemast.domain.Job

/** Follows up on jobs: has their progress stored, and closes those that are cancelled or finished. */
internal class JobFollowUp(private val cluster: Cluster, private val effects: ClusterEffects) {
    /** Has stored what is due for [job], and forgets it once it is over and has no task on any machine. */
    fun followUp(job: Job, nowMicros: Long) {
        val progress = job.storedProgress
        if (job.finished) {
            if (job.placements.isEmpty()) cluster.jobs.remove(job.id)
        } else if (job.cancelled) {
            if (cluster.failover.isReconciledFor(job) && job.placements.isEmpty() && !progress.isWriting) effects.deleteCancelled(job)
        } else if (!progress.isWriting && !progress.dirtyParts.isEmpty) {
            // Progress is stored at intervals: each write takes from what submissions and ends of jobs need.
            if (!job.isDone && nowMicros < progress.writtenMicros + PROGRESS_INTERVAL_MICROS) return
            progress.writtenMicros = nowMicros
            effects.persistProgress(job)
        }
    }

    private companion object {
        const val PROGRESS_INTERVAL_MICROS = 5_000_000L
    }
}
