package linemast.scheduling

import linemast.domain.Job

/** Determines in which zones one more task of [job] may be placed, if the job requires a single zone or a spread over zones. */
internal class ZoneConstraint(private val job: Job) {
    private val tasksByZone = HashMap<String, Int>()

    init {
        if (job.spec.requiresSameZone || job.spec.requiresSpread) job.placements.forEach { add(it.machine.zone) }
    }

    /** Counts a task placed in [zone]. */
    fun add(zone: String) {
        tasksByZone.merge(zone, 1, Int::plus)
    }

    /** Whether one more task may be placed in [zone]. */
    fun allows(zone: String): Boolean {
        if (job.spec.requiresSameZone && tasksByZone.keys.any { it != zone }) return false
        return !job.spec.requiresSpread || (tasksByZone[zone] ?: 0) < job.spec.maxTasksPerZone
    }
}
