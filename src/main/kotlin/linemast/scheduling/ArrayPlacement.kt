package linemast.scheduling

import linemast.domain.Job
import linemast.domain.Machine
import linemast.domain.MachineType
import linemast.domain.PendingReason

/** Assigns pending tasks of arrays to machines; each task is placed independently of the others. */
internal class ArrayPlacement(private val cluster: Cluster, private val pendingReasons: PendingReasonLog) {
    /**
     * Assigns at most [maxTasks] pending tasks of [job] to machines, in the order of the candidates, within its team's quota limit.
     *
     * If [maxOnBaseline] is not null, baseline machines get new tasks only as long as they hold fewer than that many tasks of
     * the job. If [releasedTypes] is not null, the tasks get machines of these types only, also if they are kept for other job classes.
     */
    fun place(
        job: Job,
        cycle: SchedulingCycle,
        maxOnBaseline: Int? = null,
        maxTasks: Int = Int.MAX_VALUE,
        releasedTypes: Set<MachineType>? = null,
    ) {
        var left = minOf(cycle.headroom.remainingTasksOf(job), job.pendingCount, maxTasks)
        if (left == 0) return pendingReasons.record(job, PendingReason.QuotaLimit)
        // Of a job that has failed on several machines one task at a time shows whether it still fails.
        if (job.failures.isJobSuspected) left = minOf(left, 1 - job.placements.size)
        if (left <= 0) return pendingReasons.record(job, PendingReason.BackOff(job.failures.count))
        left = minOf(left, cycle.remainingTasksFor(job))
        if (left == 0) return recordLimited(job, PendingReason.LeaderTaskLimit)
        val zoneConstraint = ZoneConstraint(job)
        var baselineLeft = baselineHeadroom(job, maxOnBaseline)
        for (machine in cycle.machines.candidates(job)) {
            if (machine.isBaseline && baselineLeft <= 0) continue
            if (isLeftToOthers(machine, job, cycle, releasedTypes)) continue
            val placed = pack(machine, job, left, zoneConstraint, cycle)
            left -= placed
            if (machine.isBaseline) baselineLeft -= placed
            if (left == 0 || job.nextPending(0) < 0) {
                job.pendingReason = null
                return
            }
        }
        if (maxOnBaseline == null) recordNotPlaced(job, cycle)
    }

    private fun recordNotPlaced(job: Job, cycle: SchedulingCycle) {
        when {
            cycle.machines.feasibleFor(job).none() -> pendingReasons.record(job, PendingReason.NoFeasibleMachine)
            cycle.isHeldBackByHeartbeats(job) -> recordLimited(job, PendingReason.MachineTaskLimit)
            else -> pendingReasons.record(job, PendingReason.NoFreeCapacity)
        }
    }

    /** Records that a limit on the number of tasks keeps tasks of [job] from being assigned, until tasks are sent or end. */
    private fun recordLimited(job: Job, reason: PendingReason) {
        cluster.hasLimitedAssignments = true
        pendingReasons.record(job, reason)
    }

    private fun isLeftToOthers(machine: Machine, job: Job, cycle: SchedulingCycle, releasedTypes: Set<MachineType>?): Boolean {
        val isWithheld = if (releasedTypes == null) cycle.machines.isWithheld(job.spec, machine) else machine.type !in releasedTypes
        return isWithheld || cycle.isLeftToAnother(job, machine)
    }

    private fun baselineHeadroom(job: Job, maxOnBaseline: Int?): Int =
        if (maxOnBaseline == null) Int.MAX_VALUE else maxOnBaseline - job.placements.count { it.machine.isBaseline }

    /** Assigns up to [maxTasks] tasks of [job] to [machine] while they fit, and returns how many it assigned. */
    private fun pack(machine: Machine, job: Job, maxTasks: Int, zoneConstraint: ZoneConstraint, cycle: SchedulingCycle): Int {
        var placed = 0
        var index = job.nextPending(0)
        while (placed < maxTasks && index >= 0 && cycle.fits(machine, job) && zoneConstraint.allows(machine.zone)) {
            val placement = cycle.assign(machine, job, index, cluster.attemptNumbers.next())
            placement.isExemptFromPreemption = job.isStarving
            zoneConstraint.add(machine.zone)
            placed++
            index = job.nextPending(index + 1)
        }
        return placed
    }
}
