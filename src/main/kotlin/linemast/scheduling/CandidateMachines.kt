package linemast.scheduling

import linemast.domain.Job
import linemast.domain.JobPriority
import linemast.domain.JobSpec
import linemast.domain.Machine
import linemast.domain.Placement

/**
 * The machines that one scheduling cycle may use, by kind and by free capacity.
 *
 * A cycle asks for machines once for each pending job. Searching the whole fleet each time would cost the product of both; the
 * pools give only the machines that a task fits on, in the same order as such a search.
 */
internal class CandidateMachines(
    machines: Collection<Machine>,
    private val scarceTypes: ScarceTypes,
    /** How soon a machine's next heartbeat, and with it a start, can be expected: the smaller the sooner. */
    private val nextHeartbeatOrder: (Machine) -> Int = { 0 },
) {
    /** What tells apart jobs that the same machines are withheld from. */
    private data class ScarcityKey(val jobClass: String, val priority: JobPriority, val pool: MachinePool)

    private val pools: List<MachinePool>
    private val poolOf = HashMap<Machine, MachinePool>()
    private val positionOf = HashMap<Machine, Int>()
    private val idleByType = HashMap<String, Int>()
    private val scarcities = HashMap<ScarcityKey, ScarceTypes.Scarcity>()

    /** Machines reserved for gangs, as they are when candidates are first asked for. */
    private val reservedMachines: Map<Job, List<Machine>> by lazy {
        pools.asSequence().flatMap { it.machines }
            .filter { it.reservedFor != null }
            .sortedBy { positionOf[it] }
            .groupBy { requireNotNull(it.reservedFor) }
    }

    init {
        val byKind = LinkedHashMap<MachineKind, MachinePool>()
        for ((position, machine) in machines.withIndex()) {
            val kind = MachineKind(machine.type, machine.spot, machine.baseline)
            val pool = byKind.getOrPut(kind) { MachinePool(kind) }
            pool.add(machine, position)
            poolOf[machine] = pool
            positionOf[machine] = position
            if (machine.placements.isEmpty()) idleByType.merge(machine.type.name, 1, Int::plus)
        }
        pools = byKind.values.sortedWith(CHEAPEST_FIRST)
    }

    /** All machines that tasks of [job] may run on, whatever is free there. */
    fun feasibleFor(job: Job): Sequence<Machine> = poolsFor(job).asSequence().flatMap { it.machines }.filter { it.isFeasibleFor(job) }

    /** The zones in which there are machines that tasks of [job] may run on. */
    fun feasibleZones(job: Job): List<String> =
        poolsFor(job).flatMap { it.zones }.distinct().filter { job.spec.zone == null || job.spec.zone == it }

    private fun poolsFor(job: Job): List<MachinePool> = pools.filter { it.kind.canHost(job) }

    /**
     * Machines that a task of [job] fits on, the best first: those reserved for it, then those that no other job class needs more.
     * For a job within its quota those that have its image come next, since there is no time to fetch it, and of them those
     * whose next heartbeat is due soonest.
     *
     * What is placed while the sequence is read shows in the next call.
     */
    fun candidates(job: Job): Sequence<Machine> = sequence {
        val poolsByScarcity = poolsFor(job).groupBy { scarcity(job.spec, it).isScarce }
        yieldAll(reservedMachines[job].orEmpty().filter { it.reservedFor === job && it.canPlace(job) })
        for (isScarce in listOf(false, true)) yieldAll(unreservedCandidates(job, poolsByScarcity[isScarce].orEmpty()))
    }

    private fun unreservedCandidates(job: Job, pools: List<MachinePool>): Sequence<Machine> {
        val candidates = pools.map { pool ->
            pool.withFreeVcpus(job.spec.vcpus).mapNotNull { entry ->
                entry.machine.takeIf { it.reservedFor == null && it.canPlace(job) }
            }
        }
        val (withImage, withoutImage) = candidates.map { machines -> machines.partition { job.spec.image in it.images } }.unzip()
        if (job.withinQuota) return soonestHeartbeatFirst(withImage) + soonestHeartbeatFirst(withoutImage)
        return candidates.indices.asSequence().flatMap { withImage[it].asSequence() + withoutImage[it].asSequence() }
    }

    private fun soonestHeartbeatFirst(machinesByPool: List<List<Machine>>): Sequence<Machine> =
        machinesByPool.asSequence().flatten().sortedBy(nextHeartbeatOrder)

    /**
     * Whether [machine] is withheld from tasks of [spec]: other job classes need its type, and too few machines of the types that
     * serve them would be left idle.
     */
    fun isWithheld(spec: JobSpec, machine: Machine): Boolean {
        val scarcity = scarcity(spec, poolOf.getValue(machine))
        if (!scarcity.isScarce || scarcity.isExcluded) return scarcity.isExcluded
        if (machine.placements.isNotEmpty()) return false
        return scarcity.neededTypes.sumOf { idleByType[it] ?: 0 } <= MIN_IDLE_MACHINES
    }

    /** Whether capacity that frees up on [machine] is of use to [job]. */
    fun isEligible(machine: Machine, job: Job): Boolean = machine in poolOf && machine.isFeasibleFor(job) && !isWithheld(job.spec, machine)

    private fun scarcity(spec: JobSpec, pool: MachinePool): ScarceTypes.Scarcity =
        scarcities.getOrPut(ScarcityKey(spec.jobClass, spec.priority, pool)) {
            scarceTypes.scarcityOf(pool.kind.type, pool.kind.spot, spec)
        }

    /** [placement] was assigned to its machine. */
    fun recordAssigned(placement: Placement) {
        val machine = placement.machine
        val pool = poolOf[machine] ?: return
        pool.invalidateOrder()
        if (machine.placements.size == 1) idleByType.merge(machine.type.name, -1, Int::plus)
    }

    /** [placement] was removed from its machine. */
    fun recordUnassigned(placement: Placement) {
        val machine = placement.machine
        val pool = poolOf[machine] ?: return
        pool.invalidateOrder()
        if (machine.placements.isEmpty()) idleByType.merge(machine.type.name, 1, Int::plus)
    }

    private companion object {
        /** How many vcpus a gpu counts for in the order of machine sizes. */
        const val GPU_WEIGHT = 16.0

        /** How many machines of scarce types stay idle for the job classes that need them. */
        const val MIN_IDLE_MACHINES = 1

        /** Static machines first; then cheap machines fill up, so that expensive ones become idle and can be scaled in. */
        val CHEAPEST_FIRST = compareBy<MachinePool>(
            { !it.kind.baseline },
            { if (it.kind.baseline) 0.0 else it.machines.first().pricePerVcpu },
            { it.kind.type.vcpus + it.kind.type.gpus * GPU_WEIGHT },
        )
    }
}
