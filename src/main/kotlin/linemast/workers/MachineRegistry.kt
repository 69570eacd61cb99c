package linemast.workers

import linemast.domain.Machine
import linemast.domain.MachineType
import linemast.serialization.JsonSize
import linemast.store.Entry

/**
 * The stored list of machines that may run tasks.
 *
 * A machine is written here before the first start is sent to it, so a new leader knows from the store alone,
 * without the cloud's lagging list, whose reports it has to wait for. Kept in chunks that fit a value of [valueBytes]; a
 * chunk that was stored larger is split when it is written again.
 */
class MachineRegistry(private val valueBytes: Int) {
    private class Chunk {
        val entries = LinkedHashMap<String, Map<String, Any?>>()
        private val sizes = HashMap<String, Int>()

        /** In the JSON form, with the map around the entries. */
        var bytes = FRAME_BYTES
            private set

        fun put(name: String, entry: Map<String, Any?>) {
            remove(name)
            val size = sizeOf(entry)
            entries[name] = entry
            sizes[name] = size
            bytes += size
        }

        fun remove(name: String): Boolean {
            bytes -= sizes.remove(name) ?: return false
            entries.remove(name)
            return true
        }
    }

    private val chunks = ArrayList<Chunk>()
    private val revisions = HashMap<String, Long>()

    /** Takes the stored chunks in place of all it knew; the machines in them. */
    fun read(entries: List<Entry>, types: Map<String, MachineType>): List<Machine> {
        chunks.clear()
        revisions.clear()
        val machines = LinkedHashMap<String, Machine>()
        for (entry in entries.sortedBy { it.key.removePrefix(PREFIX).toInt() }) {
            val chunk = Chunk()
            for (machineFields in entry.value.children("rigs")) {
                val type = types[machineFields.text("build")] ?: continue
                val machine = Machine(machineFields.text("rig"), type, machineFields.text("yard"), machineFields.flag("loaners"))
                // A split that ended half-way left it in two chunks.
                if (machine.name in machines) continue
                machine.baseline = machineFields.flag("owned")
                chunk.put(machine.name, machineFields.map)
                machines[machine.name] = machine
            }
            chunks += chunk
            revisions[entry.key] = entry.revision
        }
        return machines.values.toList()
    }

    /** Adds or updates [machines]; the changed chunks by key, in the order in which they have to be written. */
    fun with(machines: List<Machine>): Map<String, Map<String, Any?>> {
        val changed = LinkedHashSet<Int>()
        for (machine in machines) {
            val at = chunks.indexOfFirst { machine.name in it.entries }
            changed += if (at < 0) add(machine.name, entry(machine)) else at.also { chunks[it].put(machine.name, entry(machine)) }
        }
        return fitted(changed)
    }

    /** Takes machines that are gone off the record; the changed chunks by key, in the order in which they have to be written. */
    fun without(names: Collection<String>): Map<String, Map<String, Any?>> =
        fitted(chunks.indices.filterTo(LinkedHashSet()) { at -> names.count { chunks[at].remove(it) } > 0 })

    /** The revision a write of the chunk has to build on, so that a late write cannot undo a newer one. */
    fun revisionOf(key: String): Long = revisions[key] ?: 0L

    /** A chunk was stored as [revision]. */
    fun written(key: String, revision: Long) {
        revisions[key] = revision
    }

    private fun add(name: String, entry: Map<String, Any?>): Int {
        val size = sizeOf(entry)
        var at = chunks.indexOfFirst { it.bytes + size <= valueBytes && it.entries.size < MAX_ENTRIES }
        if (at < 0) {
            chunks += Chunk()
            at = chunks.lastIndex
        }
        chunks[at].put(name, entry)
        return at
    }

    /** Moves what is too much for a value elsewhere. What gains is written first, so that nothing is lost half-way. */
    private fun fitted(changed: Set<Int>): Map<String, Map<String, Any?>> {
        val gained = LinkedHashSet<Int>()
        val split = LinkedHashSet<Int>()
        for (at in changed) {
            while (chunks[at].bytes > valueBytes && chunks[at].entries.size > 1) {
                val (name, entry) = chunks[at].entries.entries.last()
                chunks[at].remove(name)
                gained += add(name, entry)
                split += at
            }
        }
        return (gained + (changed - split) + split).associate(::value)
    }

    private fun value(at: Int) = "$PREFIX$at" to mapOf("rigs" to chunks[at].entries.values.toList())

    private fun entry(machine: Machine) = mapOf(
        "rig" to machine.name,
        "build" to machine.type.name,
        "yard" to machine.zone,
        "loaners" to machine.spot,
        "owned" to machine.baseline,
    )

    companion object {
        const val PREFIX = "fleet/"

        /** Few enough that a change does not rewrite the whole fleet, whatever a value may hold. */
        private const val MAX_ENTRIES = 60
        private const val FRAME_BYTES = 11

        /** With the comma behind it. */
        private fun sizeOf(entry: Map<String, Any?>) = JsonSize.of(entry) + 1
    }
}
