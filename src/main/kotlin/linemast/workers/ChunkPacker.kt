package linemast.workers

/** Packs the entries of the machine registry into chunks, each of which fits a stored value of [maxValueBytes]. */
internal class ChunkPacker(private val maxValueBytes: Int) {
    private val chunks = ArrayList<RegistryChunk>()

    operator fun get(index: Int): RegistryChunk = chunks[index]

    /** Removes all chunks. */
    fun clear() = chunks.clear()

    /** Adds a stored chunk after the others. */
    fun append(chunk: RegistryChunk) {
        chunks += chunk
    }

    /** Adds or replaces the entry of machine [name]; returns the index of the changed chunk, which may now be too large. */
    fun put(name: String, entry: Map<String, Any?>): Int {
        val index = chunks.indexOfFirst { name in it }
        if (index < 0) return add(name, entry)
        chunks[index].put(name, entry)
        return index
    }

    /** Removes the entries of the machines [names] and returns the indices of the changed chunks. */
    fun remove(names: Collection<String>): Set<Int> =
        chunks.indices.filterTo(LinkedHashSet()) { index -> names.count { chunks[index].remove(it) } > 0 }

    /**
     * Moves entries out of those [changed] chunks that are too large. Returns the indices of all chunks to write, in the order of the
     * writes: chunks that gained an entry come first, so that no entry is lost if only some of the writes succeed.
     */
    fun rebalance(changed: Set<Int>): Set<Int> {
        val gained = LinkedHashSet<Int>()
        val split = LinkedHashSet<Int>()
        for (index in changed) {
            while (chunks[index].bytes > maxValueBytes && chunks[index].size > 1) {
                val (name, entry) = chunks[index].lastEntry
                chunks[index].remove(name)
                gained += add(name, entry)
                split += index
            }
        }
        return gained + (changed - split) + split
    }

    private fun add(name: String, entry: Map<String, Any?>): Int {
        val size = MachineRegistryCodec.sizeOf(entry)
        var index = chunks.indexOfFirst { it.bytes + size <= maxValueBytes && it.size < MAX_ENTRIES }
        if (index < 0) {
            chunks += RegistryChunk()
            index = chunks.lastIndex
        }
        chunks[index].put(name, entry)
        return index
    }

    private companion object {
        /** Maximum number of entries in a chunk. It keeps a change from rewriting the entries of the whole fleet if values may be large. */
        const val MAX_ENTRIES = 60
    }
}
