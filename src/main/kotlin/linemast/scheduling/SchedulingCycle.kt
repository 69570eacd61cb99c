package linemast.scheduling

import linemast.domain.HeartbeatSize
import linemast.domain.Job
import linemast.domain.Machine
import linemast.domain.Placement

/** The state of one scheduling cycle: ranked jobs, candidate machines, and the quota headroom of teams. */
internal class SchedulingCycle(
    val nowMicros: Long,
    /** All unfinished jobs, by rank. */
    val jobs: List<RankedJob>,
    val machines: CandidateMachines,
    val headroom: QuotaHeadroom,
    private val cluster: Cluster,
    maxTasks: Int,
) {
    private val imageAffinity = ImageAffinity(jobs, headroom::allowsTaskOf)

    private val budget = TaskBudget(maxTasks, cluster.machines.values)
    private val assignedCounts = HashMap<Machine, Int>()

    /** Whether the heartbeats of a machine may have no room for a further task. */
    private var hasFullHeartbeats =
        cluster.machines.values.any { it.capacity.freeHeartbeatBytes < HeartbeatSize.RESERVED_BYTES + HeartbeatSize.MAX_ENTRY_BYTES }

    /** Whether arrays leave machines to other jobs whose image these machines have. */
    var respectsImageAffinity = true

    /** Assigns task [index] of [job] to [machine]; the start is sent in the response to the machine's next heartbeat. */
    fun assign(machine: Machine, job: Job, index: Int, attempt: Long): Placement {
        val placement = cluster.assign(machine, job, index, attempt)
        machines.recordAssigned(placement)
        budget.add()
        assignedCounts.merge(machine, 1, Int::plus)
        return placement
    }

    /** Removes an assignment whose start has not been sent. */
    fun unassign(placement: Placement) {
        cluster.remove(placement)
        machines.recordUnassigned(placement)
        budget.remove()
        assignedCounts.merge(placement.machine, -1, Int::plus)
    }

    /** See [TaskBudget.remainingFor]. */
    fun remainingTasksFor(job: Job): Int = budget.remainingFor(job)

    /**
     * Whether one more task of [job], an array, fits the free resources of [machine] and its start can be sent in the next response,
     * with those of the tasks assigned before.
     */
    fun fits(machine: Machine, job: Job): Boolean {
        if (!machine.fits(job)) {
            if (!machine.capacity.fitsHeartbeat(job)) hasFullHeartbeats = true
            return false
        }
        if ((assignedCounts[machine] ?: 0) < TaskCommands.MAX_STARTS) return true
        cluster.hasLimitedAssignments = true
        return false
    }

    /** Whether a machine has free resources for a task of [job] while its heartbeats can list no more tasks. */
    fun isHeldBackByHeartbeats(job: Job): Boolean {
        if (!hasFullHeartbeats) return false
        return machines.feasibleFor(job).any { it.capacity.fitsResources(job.spec) && !it.capacity.fitsHeartbeat(job) }
    }

    /** Whether [job] leaves [machine], for now, to another job whose image the machine has. */
    fun isLeftToAnother(job: Job, machine: Machine): Boolean = respectsImageAffinity && imageAffinity.prefersAnother(job, machine)
}
