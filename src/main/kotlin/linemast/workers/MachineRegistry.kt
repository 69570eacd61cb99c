package linemast.workers

import linemast.domain.Machine
import linemast.domain.MachineType
import linemast.store.Entry

/**
 * The stored registry of machines that may run tasks.
 *
 * A machine is registered before the first start is sent to it. A new leader therefore reads from the store alone which workers'
 * heartbeats it has to wait for, and does not depend on the cloud's lagging list of machines. The registry is stored in chunks, each
 * of which fits a value of `maxValueBytes`. A chunk that was stored with a larger size is split when it is written again.
 */
class MachineRegistry(maxValueBytes: Int) {
    private val chunks = ChunkPacker(maxValueBytes)
    private val revisions = HashMap<String, Long>()

    /** Replaces all chunks in memory by the stored chunks [entries]; returns the machines of known [types] in them. */
    fun read(entries: List<Entry>, types: Map<String, MachineType>): List<Machine> {
        chunks.clear()
        revisions.clear()
        val machines = LinkedHashMap<String, Machine>()
        for (entry in entries.sortedBy { it.key.removePrefix(KEY_PREFIX).toInt() }) {
            chunks.append(readChunk(entry, types, machines))
            revisions[entry.key] = entry.revision
        }
        return machines.values.toList()
    }

    private fun readChunk(entry: Entry, types: Map<String, MachineType>, machines: MutableMap<String, Machine>): RegistryChunk {
        val chunk = RegistryChunk()
        for (machineFields in MachineRegistryCodec.decodeChunk(entry.value)) {
            val machine = MachineRegistryCodec.decode(machineFields, types) ?: continue
            // The machine is in two chunks if only some of the writes of a split succeeded.
            if (machine.name in machines) continue
            chunk.put(machine.name, machineFields.map)
            machines[machine.name] = machine
        }
        return chunk
    }

    /** Registers [machines] or updates their entries; returns the changed chunks by key, in the order in which they must be written. */
    fun register(machines: List<Machine>): Map<String, Map<String, Any?>> =
        changedValues(machines.mapTo(LinkedHashSet()) { chunks.put(it.name, MachineRegistryCodec.encode(it)) })

    /** Unregisters machines that no longer run tasks; returns the changed chunks by key, in the order in which they must be written. */
    fun unregister(names: Collection<String>): Map<String, Map<String, Any?>> = changedValues(chunks.remove(names))

    /** Returns the revision for the precondition of the chunk's next write, so that a delayed write cannot overwrite a newer one. */
    fun revisionOf(key: String): Long = revisions[key] ?: 0L

    /** Records that the chunk [key] was written at [revision]. */
    fun recordWritten(key: String, revision: Long) {
        revisions[key] = revision
    }

    private fun changedValues(changed: Set<Int>): Map<String, Map<String, Any?>> =
        chunks.rebalance(changed).associate { index -> "$KEY_PREFIX$index" to chunks[index].encode() }

    companion object {
        /** Prefix of the keys of the stored chunks; the chunk's index follows it. */
        const val KEY_PREFIX = "fleet/"
    }
}
