package linemast.scheduling

import linemast.domain.Job
import linemast.domain.JobPriority
import linemast.domain.JobSpec
import linemast.domain.Machine
import linemast.domain.Placement

/**
 * Indexes the machines that one scheduling cycle may use, by kind and by free capacity.
 *
 * A cycle looks for machines once for each pending job. Searching the whole fleet each time would cost the number of jobs times
 * the number of machines. The pools return only the machines that a task fits on, in the same order as a search of the fleet.
 */
internal class CandidateMachines(
    machines: Collection<Machine>,
    private val scarceTypes: ScarceTypes,
    /** Sort key for the time of a machine's next heartbeat, in whose response a start is sent; a smaller key means sooner. */
    private val nextHeartbeatOrder: (Machine) -> Int = { 0 },
) {
    /** Key of [scarcities]: jobs with the same class and priority are withheld from the same machine pools. */
    private data class ScarcityKey(val jobClass: String, val priority: JobPriority, val pool: MachinePool)

    private val pools: List<MachinePool>
    private val poolOf = HashMap<Machine, MachinePool>()
    private val positionOf = HashMap<Machine, Int>()
    private val idleByType = HashMap<String, Int>()
    private val scarcities = HashMap<ScarcityKey, ScarceTypes.Scarcity>()

    /** Machines reserved for gangs, by gang, as of the first call of [candidates]. */
    private val reservedMachines: Map<Job, List<Machine>> by lazy {
        pools.asSequence().flatMap { it.machines }
            .filter { it.reservedFor != null }
            .sortedBy { positionOf[it] }
            .groupBy { requireNotNull(it.reservedFor) }
    }

    init {
        val byKind = LinkedHashMap<MachineKind, MachinePool>()
        for ((position, machine) in machines.withIndex()) {
            val kind = MachineKind(machine.type, machine.spot, machine.isBaseline)
            val pool = byKind.getOrPut(kind) { MachinePool(kind) }
            pool.add(machine, position)
            poolOf[machine] = pool
            positionOf[machine] = position
            if (machine.placements.isEmpty()) idleByType.merge(machine.type.name, 1, Int::plus)
        }
        pools = byKind.values.sortedWith(CHEAPEST_FIRST)
    }

    /** Returns all machines that tasks of [job] may run on, regardless of their free capacity. */
    fun feasibleFor(job: Job): Sequence<Machine> = poolsFor(job).asSequence().flatMap { it.machines }.filter { it.isFeasibleFor(job) }

    /** Returns the zones with machines that tasks of [job] may run on. */
    fun feasibleZones(job: Job): List<String> =
        poolsFor(job).flatMap { it.zones }.distinct().filter { job.spec.zone == null || job.spec.zone == it }

    private fun poolsFor(job: Job): List<MachinePool> = pools.filter { it.kind.canHost(job) }

    /**
     * Returns the machines that a task of [job] fits on, the best first: machines reserved for the job, then machines that no
     * other job class needs more, then the rest. In the last two groups, a job within its quota gets the machines that have its
     * image first, since there is no time to fetch it, and among them those whose next heartbeat is due soonest.
     *
     * Tasks that are placed while the sequence is being read affect only the next call.
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
     * Whether [machine] is withheld from tasks of [spec]: either its type is excluded for them, or other job classes need the
     * type and too few machines of the types that serve these classes would be left idle.
     */
    fun isWithheld(spec: JobSpec, machine: Machine): Boolean {
        val scarcity = scarcity(spec, poolOf.getValue(machine))
        if (!scarcity.isScarce || scarcity.isExcluded) return scarcity.isExcluded
        if (machine.placements.isNotEmpty()) return false
        return scarcity.neededTypes.sumOf { idleByType[it] ?: 0 } <= MIN_IDLE_MACHINES
    }

    /** Whether [job] could use capacity that is freed on [machine]. */
    fun isEligible(machine: Machine, job: Job): Boolean = machine in poolOf && machine.isFeasibleFor(job) && !isWithheld(job.spec, machine)

    private fun scarcity(spec: JobSpec, pool: MachinePool): ScarceTypes.Scarcity =
        scarcities.getOrPut(ScarcityKey(spec.jobClass, spec.priority, pool)) {
            scarceTypes.scarcityOf(pool.kind.type, pool.kind.spot, spec)
        }

    /** Updates the pools after [placement] was assigned to its machine. */
    fun recordAssigned(placement: Placement) {
        val machine = placement.machine
        val pool = poolOf[machine] ?: return
        pool.invalidateOrder()
        if (machine.placements.size == 1) idleByType.merge(machine.type.name, -1, Int::plus)
    }

    /** Updates the pools after [placement] was removed from its machine. */
    fun recordUnassigned(placement: Placement) {
        val machine = placement.machine
        val pool = poolOf[machine] ?: return
        pool.invalidateOrder()
        if (machine.placements.isEmpty()) idleByType.merge(machine.type.name, 1, Int::plus)
    }

    private companion object {
        /** How many vcpus one gpu counts as when machines are ordered by size. */
        const val GPU_WEIGHT = 16.0

        /** How many machines of scarce types are kept idle for the job classes that need them. */
        const val MIN_IDLE_MACHINES = 1

        /** Baseline machines first, then the cheapest, so that expensive machines become idle and can be scaled in. */
        val CHEAPEST_FIRST = compareBy<MachinePool>(
            { !it.kind.baseline },
            { if (it.kind.baseline) 0.0 else it.machines.first().pricePerVcpu },
            { it.kind.type.vcpus + it.kind.type.gpus * GPU_WEIGHT },
        )
    }
}
