package linemast.scheduling

import linemast.domain.Job
import linemast.planning.Planner

/** The order in which jobs get what is free. */
object JobRanking {
    /** A job with what its rank follows from. */
    class Ranked(val job: Job, val withinQuota: Boolean, val missed: Int, val deadlineMicros: Long) {
        val isPartGang = job.spec.isGang && job.placements.isNotEmpty()
    }

    private val order = compareBy<Ranked>(
        { !it.isPartGang },
        { !it.withinQuota },
        { it.job.priority.ordinal },
        { it.missed },
        { it.deadlineMicros },
    )

    /** The unfinished [jobs], the first to get room first. */
    fun sorted(jobs: Collection<Job>, quota: QuotaUsage, planner: Planner, wallMicros: Long): List<Ranked> {
        val claimed = HashMap<String, Double>()
        return jobs.filter { !it.cancelled && !it.finished }
            .sortedBy { it.readyWallMicros }
            .map { job ->
                val cpus = claimed.merge(job.spec.team, job.spec.taskCount * job.spec.vcpus, Double::plus) ?: 0.0
                val withinQuota = cpus <= (quota.team(job.spec.team)?.cpus ?: 0.0)
                Ranked(job, withinQuota, planner.objectives.missed(job, wallMicros), planner.deadlineWallMicros(job))
            }
            .sortedWith(order)
    }
}
