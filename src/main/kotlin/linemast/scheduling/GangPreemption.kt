package linemast.scheduling

import linemast.domain.Job
import linemast.domain.Machine
import linemast.domain.Placement
import linemast.domain.StopReason

/** Preempts less urgent tasks for gangs, whose tasks start all together or not at all. */
internal class GangPreemption(
    private val cluster: Cluster,
    private val timing: PreemptionTiming,
    private val estimates: CompletionEstimates,
    private val taskPreemption: TaskPreemption,
    private val reservation: GangReservation,
) {
    /** The tasks to preempt on [machine] so that one task of a gang fits there. */
    private data class Preemption(val machine: Machine, val victims: List<Placement>)

    /**
     * Preempts tasks of the gang's own team, the latest started first, when only the team's quota limit prevents [gang] from
     * starting. Preempts none if all those tasks together do not free enough of the quota.
     *
     * The gang has [missing] tasks to start, of which [withinLimit] fit within the quota limit without preemption.
     */
    fun preemptAtQuotaLimit(gang: Job, missing: Int, withinLimit: Int, cycle: SchedulingCycle) {
        val team = gang.spec.team
        var neededVcpus = (missing - withinLimit) * gang.spec.vcpus
        neededVcpus -= taskPreemption.stoppingVcpus(team)
        if (neededVcpus <= ROUNDING_TOLERANCE) return
        val candidates = cycle.jobs.map { it.job }
            .filter { it.spec.team == team && !it.spec.isGang && it.priority > gang.priority }
            .flatMap { it.placements }
            .filter { it.isPreemptible }
        if (candidates.sumOf { it.requestedVcpus } < neededVcpus) return
        for (victim in candidates.sortedByDescending { it.sentMicros }) {
            if (neededVcpus <= ROUNDING_TOLERANCE) return
            taskPreemption.preempt(victim, StopReason.PreemptedAtQuotaLimit(gang.id))
            neededVcpus -= victim.requestedVcpus
        }
    }

    /**
     * Preempts tasks in [zone], or in any zone if it is null, so that the [missing] tasks of [gang] fit soon, and reserves the
     * machines for the gang. Returns whether the gang can expect enough capacity; if not, no task is preempted.
     */
    fun preemptForCapacity(gang: Job, zone: String?, missing: Int, cycle: SchedulingCycle): Boolean {
        // The reserved machines become free without preemption; preempting tasks would only withhold capacity from other jobs.
        if (gang === reservation.gang) return true
        val machines = cycle.machines.feasibleFor(gang).filter { zone == null || it.zone == zone }
        val reservedCount = machines.count { it.reservedFor === gang }
        if (reservedCount >= missing) return true
        val windowMicros = timing.gangWindowMicros(gang, cluster.wallMicros() - gang.readyWallMicros)
        val preemptions = machines.filter { it.reservedFor == null && canFitAfterPreemption(gang, it) }
            .mapNotNull { machine -> victimsOn(machine, gang, windowMicros, cycle.nowMicros)?.let { Preemption(machine, it) } }
            .sortedBy { preemption -> preemption.victims.sumOf { lostVcpuMicros(it, cycle.nowMicros) } }
            .take(missing - reservedCount)
            .toList()
        if (preemptions.size + reservedCount < missing) return false
        preemptions.forEach { execute(it, gang, windowMicros, cycle) }
        return true
    }

    private fun execute(preemption: Preemption, gang: Job, windowMicros: Long, cycle: SchedulingCycle) {
        preemption.machine.reserveFor(gang, cycle.nowMicros + windowMicros + GangReservation.RESERVATION_MICROS)
        for (victim in preemption.victims) {
            // A task whose start has not been sent is only unassigned; there is nothing to stop.
            if (victim.isAssigned) {
                cycle.unassign(victim)
            } else if (victim.stopReason == null) {
                taskPreemption.preempt(victim, StopReason.PreemptedForGang(gang.id))
            }
        }
    }

    /**
     * Whether [placement] is less urgent than [gang], so that the gang may get its capacity. Unlike [isPreemptible], true also for
     * tasks that are only assigned or already being stopped, since their capacity counts as well.
     */
    private fun isLessUrgent(placement: Placement, gang: Job): Boolean {
        val job = placement.job ?: return false
        // A higher JobPriority is a less urgent one.
        return job.priority > gang.priority && !job.spec.isGang && !placement.isExemptFromPreemption
    }

    /** Whether [machine] has enough room once all its less urgent tasks are preempted: a cheap check that rules out most machines. */
    private fun canFitAfterPreemption(gang: Job, machine: Machine): Boolean {
        val room = RoomAfterPreemption(machine)
        if (room.fits(gang)) return true
        for (placement in machine.placements.values) {
            if (!isLessUrgent(placement, gang)) continue
            room.add(placement)
            if (room.fits(gang)) return true
        }
        return false
    }

    /**
     * Returns the tasks to preempt on [machine] so that one task of [gang] fits; null if preempting all permitted tasks is not enough.
     *
     * Tasks that are expected to complete within [windowMicros], the time that the gang can wait, are not preempted, because they
     * would lose the most work. Their room counts as free. Of the other tasks the latest started are preempted first.
     */
    private fun victimsOn(machine: Machine, gang: Job, windowMicros: Long, nowMicros: Long): List<Placement>? {
        val room = RoomAfterPreemption(machine)
        val victims = ArrayList<Placement>()
        val order = compareBy<Placement>({ !estimates.endsWithin(it, nowMicros, windowMicros) }, { -it.sentMicros })
        for (placement in machine.placements.values.filter { isLessUrgent(it, gang) }.sortedWith(order)) {
            if (room.fits(gang)) break
            if (!estimates.endsWithin(placement, nowMicros, windowMicros)) victims += placement
            room.add(placement)
        }
        return if (room.fits(gang)) victims else null
    }

    /** Returns the work that a preemption loses, in vcpu microseconds: all since the start, or the time of writing a checkpoint. */
    private fun lostVcpuMicros(placement: Placement, nowMicros: Long): Double {
        val spec = placement.job?.spec ?: return 0.0
        return if (spec.neverCheckpoints) (nowMicros - placement.sentMicros) * spec.vcpus else spec.checkpointMicros * spec.vcpus
    }
}
