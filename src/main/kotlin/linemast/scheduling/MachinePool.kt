package linemast.scheduling

import linemast.domain.Job
import linemast.domain.Machine
import linemast.domain.MachineType

/** The properties that machines at the same position in the order of candidates have in common. */
internal data class MachineKind(val type: MachineType, val spot: Boolean, val baseline: Boolean) {
    /** Whether tasks of [job] may run on machines of this kind. */
    fun canHost(job: Job): Boolean = type.canHost(job.spec) && (job.spec.allowsSpot || !spot)
}

/** The machines of one kind, searchable by free vcpus. */
internal class MachinePool(val kind: MachineKind) {
    /** A machine and its [position] in the fleet, which orders machines with the same free capacity. */
    class Entry(val machine: Machine, val position: Int)

    private val entries = ArrayList<Entry>()
    private val zonesInOrder = LinkedHashSet<String>()

    /** A copy of [entries] in the order of their free vcpus; null before the first search. Sorted again only after a change of capacity. */
    private var byFreeVcpus: ArrayList<Entry>? = null
    private var sorted = false

    /** All machines, in insertion order. */
    val machines: Sequence<Machine> get() = entries.asSequence().map { it.machine }

    /** The zones of the machines, in the insertion order of the first machine of each zone. */
    val zones: Set<String> get() = zonesInOrder

    /** Adds a machine; must not be called after the first search. */
    fun add(machine: Machine, position: Int) {
        entries += Entry(machine, position)
        zonesInOrder += machine.zone
    }

    /** Invalidates the order of the machines after the free capacity of one of them has changed. */
    fun invalidateOrder() {
        sorted = false
    }

    /** Returns the machines with at least [vcpus] free, those with the fewest free vcpus first. */
    fun withFreeVcpus(vcpus: Double): List<Entry> {
        val sortedEntries = sortedEntries()
        var low = 0
        var high = sortedEntries.size
        while (low < high) {
            val middle = (low + high) ushr 1
            if (sortedEntries[middle].machine.freeVcpus + ROUNDING_TOLERANCE < vcpus) low = middle + 1 else high = middle
        }
        return sortedEntries.subList(low, sortedEntries.size)
    }

    private fun sortedEntries(): List<Entry> {
        val copy = byFreeVcpus ?: ArrayList(entries).also { byFreeVcpus = it }
        if (!sorted) {
            copy.sortWith(FULLEST_FIRST)
            sorted = true
        }
        return copy
    }

    private companion object {
        val FULLEST_FIRST = compareBy<Entry>({ it.machine.freeVcpus }, { it.position })
    }
}
