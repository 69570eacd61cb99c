package linemast.scheduling

import linemast.domain.Job
import linemast.domain.Machine

/**
 * Tells which machines should be left to another job whose image they have already.
 *
 * On a machine without its image a task holds capacity for the whole fetch. So among arrays of about the same rank, each
 * takes the machines that have its image first; what is still free after that goes by rank alone.
 */
internal class ImageAffinity(jobs: List<RankedJob>, private val hasQuotaHeadroom: (Job) -> Boolean) {
    private val ranks = jobs.associateBy { it.job }
    private val arraysByImage = jobs.filter { !it.withinQuota && !it.job.spec.isGang }.groupBy { it.job.spec.image }

    /** Whether [machine] should be left to another job than [job]. */
    fun prefersAnother(job: Job, machine: Machine): Boolean {
        // Within its quota, and when it is starving, a job takes what it gets.
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
        /** Jobs whose deadlines are closer to each other than this may precede each other. */
        const val MAX_DEADLINE_DIFFERENCE_MICROS = 60_000_000L
    }
}
