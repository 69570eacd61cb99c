package linemast.workers

import linemast.domain.Machine
import linemast.domain.MachineType
import linemast.store.Entry

/**
 * The stored registry of machines that may run tasks.
 *
 * A machine is registered before its first start is sent, so that a new leader knows from the store alone, without the
 * cloud's lagging list, whose heartbeats it has to wait for. The registry is kept in chunks that fit a stored value of
 * `maxValueBytes`; a chunk that was stored larger is split when it is written again.
 */
class MachineRegistry(maxValueBytes: Int) {
    private val chunks = ChunkPacker(maxValueBytes)
    private val revisions = HashMap<String, Long>()

    /** Replaces the known chunks by the stored ones and returns the machines in them. */
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
            // A split that ended half-way left the machine in two chunks.
            if (machine.name in machines) continue
            chunk.put(machine.name, machineFields.map)
            machines[machine.name] = machine
        }
        return chunk
    }

    /** Adds or updates [machines]; the changed chunks by key, in the order in which they have to be written. */
    fun register(machines: List<Machine>): Map<String, Map<String, Any?>> =
        changedValues(machines.mapTo(LinkedHashSet()) { chunks.put(it.name, MachineRegistryCodec.encode(it)) })

    /** Removes machines that run nothing any more; the changed chunks by key, in the order in which they have to be written. */
    fun unregister(names: Collection<String>): Map<String, Map<String, Any?>> = changedValues(chunks.remove(names))

    /** The revision that a write of the chunk has to build on, so that a late write cannot undo a newer one. */
    fun revisionOf(key: String): Long = revisions[key] ?: 0L

    /** The chunk [key] was stored as [revision]. */
    fun recordWritten(key: String, revision: Long) {
        revisions[key] = revision
    }

    private fun changedValues(changed: Set<Int>): Map<String, Map<String, Any?>> =
        chunks.rebalance(changed).associate { index -> "$KEY_PREFIX$index" to chunks[index].encode() }

    companion object {
        /** Key prefix of the stored chunks, before the chunk's number. */
        const val KEY_PREFIX = "fleet/"
    }
}
