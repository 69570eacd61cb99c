package linemast.scheduling

import linemast.domain.Job
import linemast.domain.Machine

/**
 * Determines which machines should be left to another job whose image they already have.
 *
 * A task on a machine without its image occupies capacity while the image is fetched. Among arrays of about the same rank, each
 * therefore first gets the machines that have its image; the remaining capacity is assigned by rank alone.
 */
internal class ImageAffinity(jobs: List<RankedJob>, private val hasQuotaHeadroom: (Job) -> Boolean) {
    private val ranks = jobs.associateBy { it.job }
    private val arraysByImage = jobs.filter { !it.withinQuota && !it.job.spec.isGang }.groupBy { it.job.spec.image }

    /** Whether [machine] should be left to another job than [job]. */
    fun prefersAnother(job: Job, machine: Machine): Boolean {
        // A job that is within its quota or starving may use any machine.
        if (job.withinQuota || job.isStarving || job.spec.image in machine.images) return false
        val rank = ranks[job] ?: return false
        return machine.images.any { image ->
            arraysByImage[image].orEmpty().any { other -> mayPrecede(other, rank) && mayRunOn(machine, other.job) }
        }
    }

    private fun mayPrecede(other: RankedJob, rank: RankedJob): Boolean = other.job.pendingCount > 0 &&
        other.job.priority == rank.job.priority &&
        other.missedObjectives <= rank.missedObjectives &&
        other.deadlineMicros <= rank.deadlineMicros + MAX_DEADLINE_DIFFERENCE_MICROS

    private fun mayRunOn(machine: Machine, job: Job): Boolean = machine.canPlace(job) && hasQuotaHeadroom(job)

    private companion object {
        /** A job may precede another one whose deadline is earlier by at most this. */
        const val MAX_DEADLINE_DIFFERENCE_MICROS = 60_000_000L
    }
}
