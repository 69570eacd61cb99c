package linemast.scheduling

import linemast.domain.Job
import linemast.planning.Planner

/** A job with the properties that determine its rank. */
data class RankedJob(
    /** The ranked job. */
    val job: Job,
    /** Whether the job fits within its team's quota, together with the team's earlier jobs. */
    val withinQuota: Boolean,
    /** How many service-level objectives the job can no longer meet. */
    val missedObjectives: Int,
    /** Wall time by which the job should complete. */
    val deadlineMicros: Long,
) {
    /** Whether the job is a gang of which some tasks are placed and wait for the others. */
    val isPartlyPlacedGang = job.spec.isGang && job.placements.isNotEmpty()
}

/** Sorts jobs in the order in which they get free capacity. */
object JobRanking {
    private val order = compareBy<RankedJob>(
        { !it.isPartlyPlacedGang },
        { !it.withinQuota },
        { it.job.priority.ordinal },
        { it.missedObjectives },
        { it.deadlineMicros },
    )

    /**
     * Returns those of [jobs] that are neither cancelled nor finished, by rank. Of jobs with equal rank, the one that was ready first
     * comes first.
     */
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
