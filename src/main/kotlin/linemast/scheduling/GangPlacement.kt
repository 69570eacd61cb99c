package linemast.scheduling

import linemast.domain.Job
import linemast.domain.Machine
import linemast.domain.PendingReason
import linemast.domain.Placement

/** Places gangs: either all missing tasks of a gang are assigned in the same cycle, or none. */
internal class GangPlacement(
    private val cluster: Cluster,
    private val preemption: GangPreemption,
    private val pendingReasons: PendingReasonLog,
) {
    /** Assigns all missing tasks of [gang] to machines; if that is not possible, preempts other tasks as far as it is allowed. */
    fun place(gang: Job, cycle: SchedulingCycle) {
        if (!prepareAttempt(gang)) return
        val missing = gang.pendingCount
        val headroom = cycle.headroom.remainingTasksOf(gang)
        // Zones of all feasible machines, not only of those with free capacity, because preemption can free capacity on the others.
        val zones = if (gang.spec.requiresSameZone && gang.spec.taskCount > 1) cycle.machines.feasibleZones(gang) else listOf(null)
        if (headroom >= missing) {
            placeWithinQuotaLimit(gang, zones, missing, cycle)
        } else {
            preemptAtQuotaLimit(gang, zones, missing, headroom, cycle)
        }
    }

    private fun placeWithinQuotaLimit(gang: Job, zones: List<String?>, missing: Int, cycle: SchedulingCycle) {
        if (zones.any { zone -> placeAll(gang, candidates(gang, zone, cycle), missing, cycle) }) return
        val isPreempting = preemptInOneZone(gang, zones, missing, cycle)
        pendingReasons.record(gang, if (isPreempting) PendingReason.PreemptionInProgress else PendingReason.NoFreeCapacity)
    }

    private fun preemptAtQuotaLimit(gang: Job, zones: List<String?>, missing: Int, headroom: Int, cycle: SchedulingCycle) {
        // Tasks are preempted for the quota limit only if there is free capacity for the gang.
        val hasCapacity = zones.any { zone -> candidates(gang, zone, cycle).sumOf { it.freeSlots(gang) } >= missing }
        if (hasCapacity) {
            preemption.preemptAtQuotaLimit(gang, missing, headroom, cycle)
        } else {
            preemptInOneZone(gang, zones, missing, cycle)
        }
        pendingReasons.record(gang, PendingReason.QuotaLimit)
    }

    /** Preempts tasks in the first zone where that frees enough capacity for the missing tasks; returns whether there is one. */
    private fun preemptInOneZone(gang: Job, zones: List<String?>, missing: Int, cycle: SchedulingCycle): Boolean =
        zones.any { zone -> preemption.preemptForCapacity(gang, zone, missing, cycle) }

    /**
     * Returns the machines of [zone], or of all zones if it is null, that may run tasks of the present attempt of [gang]. A machine
     * whose worker got the acknowledgement of a task of this attempt must not get such a task again.
     */
    private fun candidates(gang: Job, zone: String?, cycle: SchedulingCycle): Sequence<Machine> =
        cycle.machines.candidates(gang).filter { (zone == null || it.zone == zone) && !gang.gangAttempt.isAcknowledgedOn(it) }

    /**
     * Begins a new attempt if [gang] has no placements and either no attempt yet or one of which a start was sent. Returns false if
     * the present attempt cannot be completed any more.
     */
    private fun prepareAttempt(gang: Job): Boolean {
        if (gang.placements.isNotEmpty()) return !gang.gangAttempt.hasRun && gang.placements.all { it.attempt == gang.gangAttempt.number }
        gang.gangAttempt.hasRun = false
        if (gang.gangAttempt.isUsed) {
            // All cycles use this number until the gang can start as a whole.
            gang.gangAttempt.begin(cluster.attemptNumbers.next().also(cluster.attemptNumbers::markUsed))
        }
        return true
    }

    private fun placeAll(gang: Job, machines: Sequence<Machine>, missing: Int, cycle: SchedulingCycle): Boolean {
        val zoneConstraint = ZoneConstraint(gang)
        val placed = ArrayList<Placement>()
        var index = gang.nextPending(0)
        for (machine in machines) {
            while (index >= 0 && machine.fits(gang) && zoneConstraint.allows(machine.zone)) {
                placed += cycle.assign(machine, gang, index, gang.gangAttempt.number)
                zoneConstraint.add(machine.zone)
                index = gang.nextPending(index + 1)
            }
            if (index < 0) break
        }
        if (placed.size == missing) {
            gang.pendingReason = null
            return true
        }
        placed.forEach(cycle::unassign)
        return false
    }
}
