package linemast.placement

import linemast.workers.Job

/** Counts a job's tasks by zone and tells where one more may start. */
internal class PlaceRules(private val job: Job) {
    private val byYard = HashMap<String, Int>()

    init {
        if (job.spec.samePlace || job.spec.apart) job.placements.forEach { add(it.machine.yard) }
    }

    fun add(yard: String) {
        byYard.merge(yard, 1, Int::plus)
    }

    fun allows(yard: String): Boolean {
        if (job.spec.samePlace && byYard.keys.any { it != yard }) return false
        return !job.spec.apart || (byYard[yard] ?: 0) < job.spec.mostInOneYard
    }
}
