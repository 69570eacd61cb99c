package linemast.scheduling

import linemast.domain.Job

/** Counts a job's tasks by zone and tells where one more may start. */
internal class SpreadConstraint(private val job: Job) {
    private val byZone = HashMap<String, Int>()

    init {
        if (job.spec.sameZone || job.spec.spread) job.placements.forEach { add(it.machine.zone) }
    }

    fun add(zone: String) {
        byZone.merge(zone, 1, Int::plus)
    }

    fun allows(zone: String): Boolean {
        if (job.spec.sameZone && byZone.keys.any { it != zone }) return false
        return !job.spec.spread || (byZone[zone] ?: 0) < job.spec.maxTasksPerZone
    }
}
