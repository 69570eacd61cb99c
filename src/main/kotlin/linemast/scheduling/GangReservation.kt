package linemast.scheduling

import linemast.domain.Job
import linemast.domain.Machine
import linemast.domain.Reservation

/**
 * Reserves machines for one starving gang.
 *
 * Only one gang has a reservation at a time: two gangs that each hold half of the machines that both need would deadlock.
 */
internal class GangReservation(private val cluster: Cluster, private val estimates: CompletionEstimates) {
    private data class AvailableMachine(val machine: Machine, val freeAfterMicros: Long)

    /** The gang that machines were last reserved for. */
    var gang: Job? = null
        private set

    /** Reserves the machines that become free first for all pending tasks of [gang]; returns false if there are too few. */
    fun reserve(gang: Job, cycle: SchedulingCycle): Boolean {
        switchTo(gang)
        val available = availableMachines(gang, cycle)
        val chosen = soonestFree(gang, available) ?: return false
        for ((machine, _) in available) if (machine !in chosen) machine.reservation = null
        for (machine in chosen) machine.reserveFor(gang, cycle.nowMicros + RESERVATION_MICROS)
        return true
    }

    /** Releases the machines of the previous gang if [next] is another one. */
    private fun switchTo(next: Job) {
        val previous = gang
        if (previous === next) return
        if (previous != null) {
            for (machine in cluster.machines.values) if (machine.reservedFor === previous) machine.reservation = null
        }
        gang = next
    }

    private fun availableMachines(gang: Job, cycle: SchedulingCycle): List<AvailableMachine> = cycle.machines.feasibleFor(gang)
        .filter { it.reservedFor == null || it.reservedFor === gang }
        .map { AvailableMachine(it, estimates.freeAfterMicros(it, cycle.nowMicros)) }
        .sortedBy { it.freeAfterMicros }
        .toList()

    /** Returns a machine for each pending task, in one zone if the gang requires that; null if there are too few machines. */
    private fun soonestFree(gang: Job, available: List<AvailableMachine>): Set<Machine>? {
        val groups = if (gang.spec.requiresSameZone) available.groupBy { it.machine.zone }.values else listOf(available)
        return groups.map { it.take(gang.pendingCount) }
            .filter { it.size == gang.pendingCount }
            .minByOrNull { group -> group.maxOf { it.freeAfterMicros } }
            ?.mapTo(HashSet()) { it.machine }
    }

    companion object {
        /** A reservation that is not renewed expires after this time. */
        const val RESERVATION_MICROS = 15_000_000L
    }
}

/** Reserves this machine for [gang] until [untilMicros]: no other job gets its free capacity. */
internal fun Machine.reserveFor(gang: Job, untilMicros: Long) {
    reservation = Reservation(gang, untilMicros = untilMicros)
}
