package linemast.scheduling

import linemast.admission.FlowRoundRobin
import linemast.domain.Job
import linemast.domain.PendingReason

/**
 * Places starving jobs before all others, so that no priority or quota limit delays a job indefinitely. A job
 * starves if it has waited for long and none of its tasks was started.
 *
 * Of a starving array a few tasks are placed first; for a starving gang machines are reserved. Starving jobs keep their rank among
 * each other, so that those that have missed their objectives do not make the next ones miss theirs as well.
 */
internal class StarvationGuard(
    private val cluster: Cluster,
    /** Round robin among the flows of starving arrays; null places all starving arrays. */
    private val roundRobin: FlowRoundRobin?,
    private val arrays: ArrayPlacement,
    private val gangs: GangPlacement,
    private val reservation: GangReservation,
) {
    /** Determines which of the [ready] jobs are starving, and places them. */
    fun placeStarving(ready: List<Job>, cycle: SchedulingCycle) {
        val wallMicros = cluster.wallMicros()
        for (job in ready) job.isStarving = isStarving(job, wallMicros)
        val selected = selectArrays(ready.filter { it.isStarving })
        var mayReserve = true
        // The gang that holds the reservation stays first until it is placed.
        for (job in selected.sortedBy { it !== reservation.gang }) {
            if (!job.spec.isGang) {
                placeFirstTasks(job, cycle)
                continue
            }
            gangs.place(job, cycle)
            if (mayReserve && needsReservation(job) && reservation.reserve(job, cycle)) mayReserve = false
        }
    }

    private fun isStarving(job: Job, wallMicros: Long): Boolean {
        val isStarted = job.completedCount > 0 || job.placements.any { !it.isAssigned }
        if (isStarted) return false
        val ageMicros = wallMicros - job.readyWallMicros
        return if (job.spec.isGang) isGangStarving(job, ageMicros) else ageMicros > ARRAY_STARVING_MICROS
    }

    /**
     * Whether a gang that has been ready for [ageMicros] is starving. When more gangs arrive than there is capacity for, placing the
     * longest-waiting gang first would make all of them late. Gangs that have already missed their objective therefore lose
     * precedence, and get it back after a much longer time.
     */
    private fun isGangStarving(job: Job, ageMicros: Long): Boolean {
        // A gang of one task needs no reservation; precedence would only let it displace another gang.
        if (job.spec.taskCount == 1) return false
        return ageMicros in GANG_STARVING_MICROS..GANG_LATE_MICROS || ageMicros > LATE_GANG_STARVING_MICROS
    }

    /**
     * Selects arrays by round robin among their flows, so that one flow with many jobs does not block all others. In the returned
     * list the selected arrays take the first positions that arrays have in [starving], and gangs keep their positions. Arrays that
     * are not selected do not count as starving.
     */
    private fun selectArrays(starving: List<Job>): List<Job> {
        if (roundRobin == null) return starving
        val selected = roundRobin.selectNext(starving.filter { !it.spec.isGang })
        val selectedSet = selected.toSet()
        val nextSelected = selected.iterator()
        return starving.mapNotNull { job ->
            if (job.spec.isGang) return@mapNotNull job
            job.isStarving = job in selectedSet
            if (nextSelected.hasNext()) nextSelected.next() else null
        }
    }

    private fun placeFirstTasks(job: Job, cycle: SchedulingCycle) {
        arrays.place(job, cycle, maxTasks = FIRST_TASKS)
        if (job.placements.isNotEmpty()) roundRobin?.recordStarted(job)
    }

    private fun needsReservation(gang: Job): Boolean = gang.placements.isEmpty() && gang.pendingReason != PendingReason.QuotaLimit

    private companion object {
        /** How many tasks of a starving array are placed before those of other jobs. */
        const val FIRST_TASKS = 2
        const val ARRAY_STARVING_MICROS = 60_000_000L

        /** Longer than for arrays, because machines that are reserved for a gang are idle until the last of them is free. */
        const val GANG_STARVING_MICROS = 150_000_000L
        const val GANG_LATE_MICROS = 240_000_000L
        const val LATE_GANG_STARVING_MICROS = 600_000_000L
    }
}
