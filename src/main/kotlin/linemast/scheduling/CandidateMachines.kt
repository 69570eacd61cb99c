package linemast.scheduling

import linemast.domain.Job
import linemast.domain.JobPriority
import linemast.domain.JobSpec
import linemast.domain.Machine
import linemast.domain.MachineType
import linemast.domain.Placement

/**
 * The machines that one pass may use, by shape and by free room.
 *
 * A pass asks for machines once for each waiting job. Looking through the whole fleet each time grew with the product
 * of both; here a job is led to the few machines that have room for it, in the order that looking through all gives.
 */
internal class CandidateMachines(
    machines: Collection<Machine>,
    private val scarce: ScarceTypes,
    /** How soon a machine's next report, and with it a start, can be expected: the smaller the sooner. */
    private val turn: (Machine) -> Int = { 0 },
) {
    /** Machines of the same type, kind and owner: all that their place in the order shares. */
    private class Pool(val type: MachineType, val spot: Boolean, val baseline: Boolean) {
        val machines = ArrayList<Entry>()
        val zones = LinkedHashSet<String>()

        /** By free room; sorted again only after some of it was taken or given back. */
        private var byRoom: ArrayList<Entry>? = null
        private var sorted = false

        fun changed() {
            sorted = false
        }

        /** Those with at least [vcpus] free, the fullest first. */
        fun withRoom(vcpus: Double): List<Entry> {
            val entries = byRoom ?: ArrayList(machines).also { byRoom = it }
            if (!sorted) {
                entries.sortWith(FULLEST_FIRST)
                sorted = true
            }
            var low = 0
            var high = entries.size
            while (low < high) {
                val middle = (low + high) ushr 1
                if (entries[middle].machine.freeVcpus + EPSILON < vcpus) low = middle + 1 else high = middle
            }
            return entries.subList(low, entries.size)
        }
    }

    private class Entry(val machine: Machine, val rank: Int)

    private val pools: List<Pool>
    private val poolOf = HashMap<Machine, Pool>()
    private val rankOf = HashMap<Machine, Int>()

    /** Idle machines by type; see [keepFree]. */
    private val idle = HashMap<String, Int>()

    /** What tells apart jobs that the same machines are kept from. */
    private data class ScarcityKey(val jobClass: String, val priority: JobPriority, val pool: Pool)

    private val scarcities = HashMap<ScarcityKey, ScarceTypes.Scarcity>()

    init {
        val byKind = LinkedHashMap<Triple<MachineType, Boolean, Boolean>, Pool>()
        for ((rank, machine) in machines.withIndex()) {
            val pool = byKind.getOrPut(Triple(machine.type, machine.spot, machine.baseline)) {
                Pool(machine.type, machine.spot, machine.baseline)
            }
            pool.machines += Entry(machine, rank)
            pool.zones += machine.zone
            poolOf[machine] = pool
            rankOf[machine] = rank
            if (machine.placements.isEmpty()) idle.merge(machine.type.name, 1, Int::plus)
        }
        // Cheap ones fill first, so that dear ones fall idle and can be returned.
        pools = byKind.values.sortedWith(
            compareBy({ !it.baseline }, { if (it.baseline) 0.0 else it.machines.first().machine.pricePerVcpu }, {
                it.type.vcpus +
                    it.type.gpus * GPU_WEIGHT
            }),
        )
    }

    val all: Sequence<Machine> get() = pools.asSequence().flatMap { it.machines }.map { it.machine }

    /** All that a task of [job] may be on, with room or without. */
    fun of(job: Job): Sequence<Machine> = poolsOf(job).asSequence().flatMap { it.machines }.map { it.machine }
        .filter { it.allows(job.spec) && it.name !in job.failedOn }

    fun zonesOf(job: Job): List<String> = poolsOf(job).flatMap {
        it.zones
    }.distinct().filter { job.spec.zone == null || job.spec.zone == it }

    private fun poolsOf(job: Job): List<Pool> = pools.filter { it.type.takes(job.spec) && (job.spec.spot || !it.spot) }

    /**
     * Machines with room for a task of [job] that may get it, the best first: those kept for it, then those that no
     * other job class needs more. Within a guarantee those that have its image come next, since there is no time to fetch it,
     * and of them those that report soonest.
     *
     * What is placed while going through them shows in the next call.
     */
    fun candidates(job: Job): Sequence<Machine> = sequence {
        val pools = poolsOf(job).groupBy { scarcity(job.spec, it).isScarce }
        yieldAll(keptFor(job))
        for (scarce in listOf(false, true)) {
            val open = pools[scarce].orEmpty().map { pool -> pool.withRoom(job.spec.vcpus).filter { isOpen(it.machine, job) } }
            val (having, lacking) = open.map { entries -> entries.partition { job.spec.image in it.machine.images } }.unzip()
            if (job.withinQuota) {
                yieldAll(soonestFirst(having))
                yieldAll(soonestFirst(lacking))
            } else {
                for (at in having.indices) yieldAll((having[at].asSequence() + lacking[at].asSequence()).map { it.machine })
            }
        }
    }

    private fun soonestFirst(entries: List<List<Entry>>): Sequence<Machine> =
        sequence { yieldAll(entries.flatten().map { it.machine }.sortedBy(turn)) }

    private fun isOpen(machine: Machine, job: Job): Boolean =
        machine.reservedFor == null && machine.fits(job) && machine.allows(job.spec) && machine.name !in job.failedOn

    private fun keptFor(job: Job): List<Machine> = reserved[job].orEmpty().filter { machine ->
        machine.reservedFor === job && machine.fits(job) && machine.allows(job.spec) && machine.name !in job.failedOn
    }

    private val reserved: Map<Job, List<Machine>> by lazy {
        all.filter { it.reservedFor != null }.sortedBy { rankOf[it] }.groupBy { requireNotNull(it.reservedFor) }
    }

    /** Whether [machine] had better not take a task of [spec]: others need such machines, and none would be left idle. */
    fun keepFree(spec: JobSpec, machine: Machine): Boolean {
        val scarcity = scarcity(spec, poolOf.getValue(machine))
        if (!scarcity.isScarce || scarcity.isClosed) return scarcity.isClosed
        if (machine.placements.isNotEmpty()) return false
        return scarcity.neededTypes.sumOf { idle[it] ?: 0 } <= KEPT_IDLE
    }

    /** Whether room that comes free on [machine] is of use to [job]. */
    fun serves(machine: Machine, job: Job): Boolean =
        machine in poolOf && machine.allows(job.spec) && machine.name !in job.failedOn && !keepFree(job.spec, machine)

    private fun scarcity(spec: JobSpec, pool: Pool): ScarceTypes.Scarcity =
        scarcities.getOrPut(ScarcityKey(spec.jobClass, spec.priority, pool)) { scarce.of(pool.type, pool.spot, spec) }

    /** [placement] was put on its machine or taken off again. */
    fun changed(placement: Placement, put: Boolean) {
        val machine = placement.machine
        val pool = poolOf[machine] ?: return
        pool.changed()
        if (put && machine.placements.size == 1) idle.merge(machine.type.name, -1, Int::plus)
        if (!put && machine.placements.isEmpty()) idle.merge(machine.type.name, 1, Int::plus)
    }

    private companion object {
        const val GPU_WEIGHT = 16.0
        const val KEPT_IDLE = 1
        const val EPSILON = 1e-6
        val FULLEST_FIRST = compareBy<Entry>({ it.machine.freeVcpus }, { it.rank })
    }
}
