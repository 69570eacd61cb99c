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
            if (!job.isDone && nowMicros < progress.lastWriteMicros + progressIntervalMicros(job)) return
            progress.lastWriteMicros = nowMicros
            effects.persistProgress(job)
        }
    }

    private fun progressIntervalMicros(job: Job): Long =
        if (job.pendingReason?.isTaskLimit == true) LIMITED_JOB_PROGRESS_INTERVAL_MICROS else PROGRESS_INTERVAL_MICROS

    private companion object {
        const val PROGRESS_INTERVAL_MICROS = 5_000_000L

        /** For a job whose ended tasks take up the room that its pending ones wait for, until their ends are stored. */
        const val LIMITED_JOB_PROGRESS_INTERVAL_MICROS = 1_000_000L
    }
}
