package linemast.scheduling

import linemast.domain.Job
import linemast.planning.Planner

/** A job with what its rank follows from. */
data class RankedJob(
    /** The job that is ranked. */
    val job: Job,
    /** Whether the job fits within its team's quota, together with the team's earlier jobs. */
    val withinQuota: Boolean,
    /** How many service-level objectives it has missed. */
    val missedObjectives: Int,
    /** Wall time by which it should end. */
    val deadlineMicros: Long,
) {
    /** Whether some tasks of the gang are placed, so that the others hold them up. */
    val isPartlyPlacedGang = job.spec.isGang && job.placements.isNotEmpty()
}

/** The order in which jobs get free capacity. */
object JobRanking {
    private val order = compareBy<RankedJob>(
        { !it.isPartlyPlacedGang },
        { !it.withinQuota },
        { it.job.priority.ordinal },
        { it.missedObjectives },
        { it.deadlineMicros },
    )

    /** The unfinished ones of [jobs], by rank; at the same rank, the one that has been ready for longer goes first. */
    fun sorted(jobs: Collection<Job>, quota: QuotaUsage, planner: Planner, wallMicros: Long): List<RankedJob> {
        val requestedVcpus = HashMap<String, Double>()
        return jobs.filter { !it.cancelled && !it.finished }
            .sortedBy { it.readyWallMicros }
            .map { job ->
                val spec = job.spec
                val vcpus = requestedVcpus.merge(spec.team, spec.taskCount * spec.vcpus, Double::plus) ?: 0.0
                val withinQuota = vcpus <= (quota.team(spec.team)?.guaranteedVcpus ?: 0.0)
                RankedJob(job, withinQuota, planner.objectives.countUnreachable(job, wallMicros), planner.deadlineWallMicros(job))
            }
            .sortedWith(order)
    }
}
