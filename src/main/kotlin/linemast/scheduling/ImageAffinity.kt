package linemast.scheduling

import linemast.domain.Job
import linemast.domain.Machine

/**
 * Tells machines that are better left to another job, one whose image they have already.
 *
 * A machine that lacks an image holds room for the whole fetch. So among arrays of about the same rank, each takes the
 * machines that have its image first; what is still free after that goes by rank alone.
 */
internal class ImageAffinity(jobs: List<JobRanking.Ranked>, private val hasQuotaHeadroom: (Job) -> Boolean) {
    private val ranks = jobs.associateBy { it.job }
    private val byImage = jobs.filter { !it.withinQuota && !it.job.spec.isGang }.groupBy { it.job.spec.image }

    /** Whether [machine] had better run a task of another job than of [job]. */
    fun prefersAnother(job: Job, machine: Machine): Boolean {
        // Within a guarantee, and after a long wait, a job takes what it gets.
        if (job.withinQuota || job.isStarving || job.spec.image in machine.images) return false
        val rank = ranks[job] ?: return false
        return machine.images.any { image -> byImage[image].orEmpty().any { mayGoFirst(it, rank) && canRun(it.job, machine) } }
    }

    private fun mayGoFirst(other: JobRanking.Ranked, rank: JobRanking.Ranked): Boolean = other.job.pendingCount > 0 &&
        other.job.priority == rank.job.priority &&
        other.missed <= rank.missed &&
        other.deadlineMicros <= rank.deadlineMicros + SAME_RANK_MICROS

    private fun canRun(job: Job, machine: Machine): Boolean =
        machine.fits(job) && machine.allows(job.spec) && machine.name !in job.failedOn && hasQuotaHeadroom(job)

    private companion object {
        /** Jobs due within this time of each other may pass each other. */
        const val SAME_RANK_MICROS = 60_000_000L
    }
}
