package linemast.workers

import linemast.cloud.MachineType
import linemast.state.Item

/**
 * The stored list of machines that may run tasks.
 *
 * A machine is written here before the first start is sent to it, so a new leader knows from the store alone,
 * without the cloud's lagging list, whose reports it has to wait for. Kept in chunks that fit a value.
 */
class FleetRecord {
    private val chunks = ArrayList<LinkedHashMap<String, Map<String, Any?>>>()
    private val stamps = HashMap<String, Long>()

    fun read(items: List<Item>, types: Map<String, MachineType>): List<Machine> {
        chunks.clear()
        stamps.clear()
        val machines = ArrayList<Machine>()
        for (item in items.sortedBy { it.key.removePrefix(PREFIX).toInt() }) {
            val chunk = LinkedHashMap<String, Map<String, Any?>>()
            for (entry in item.value.children("rigs")) {
                val type = types[entry.text("build")] ?: continue
                val machine = Machine(entry.text("rig"), type, entry.text("yard"), entry.flag("loaners"))
                machine.owned = entry.flag("owned")
                chunk[machine.name] = entry.map
                machines += machine
            }
            chunks += chunk
            stamps[item.key] = item.stamp
        }
        return machines
    }

    /** Adds or updates [machines]; the changed chunks by key. */
    fun with(machines: List<Machine>): Map<String, Map<String, Any?>> {
        val changed = LinkedHashSet<Int>()
        for (machine in machines) {
            var at = chunks.indexOfFirst { machine.name in it }
            if (at < 0) at = chunks.indexOfFirst { it.size < CHUNK }
            if (at < 0) {
                chunks += LinkedHashMap<String, Map<String, Any?>>()
                at = chunks.lastIndex
            }
            chunks[at][machine.name] = entry(machine)
            changed += at
        }
        return changed.associate { value(it) }
    }

    /** Takes machines that are gone off the record; the changed chunks by key. */
    fun without(names: Collection<String>): Map<String, Map<String, Any?>> {
        val changed = chunks.indices.filter { at -> chunks[at].keys.removeAll(names.toSet()) }
        return changed.associate { value(it) }
    }

    /** The revision a write of the chunk has to build on, so that a late write cannot undo a newer one. */
    fun stampOf(key: String): Long = stamps[key] ?: 0L

    fun written(key: String, stamp: Long) {
        stamps[key] = stamp
    }

    private fun value(at: Int) = "$PREFIX$at" to mapOf("rigs" to chunks[at].values.toList())

    private fun entry(machine: Machine) = mapOf(
        "rig" to machine.name,
        "build" to machine.type.name,
        "yard" to machine.yard,
        "loaners" to machine.loaners,
        "owned" to machine.owned,
    )

    companion object {
        const val PREFIX = "fleet/"
        private const val CHUNK = 60
    }
}
