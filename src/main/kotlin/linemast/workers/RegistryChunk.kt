package linemast.workers

/** The entries of one stored value of the machine registry, by machine name. */
internal class RegistryChunk {
    private val entries = LinkedHashMap<String, Map<String, Any?>>()
    private val sizes = HashMap<String, Int>()

    /** Size in the JSON form, in bytes. */
    var bytes = MachineRegistryCodec.EMPTY_CHUNK_BYTES
        private set

    val size: Int get() = entries.size

    /** The entry that was added last, with its machine name as key. */
    val lastEntry: Map.Entry<String, Map<String, Any?>> get() = entries.entries.last()

    operator fun contains(name: String): Boolean = name in entries

    /** Adds or replaces the entry of machine [name]. */
    fun put(name: String, entry: Map<String, Any?>) {
        remove(name)
        val size = MachineRegistryCodec.sizeOf(entry)
        entries[name] = entry
        sizes[name] = size
        bytes += size
    }

    /** Removes the entry of machine [name]; returns false if there is none. */
    fun remove(name: String): Boolean {
        bytes -= sizes.remove(name) ?: return false
        entries.remove(name)
        return true
    }

    /** Returns the value to store. */
    fun encode(): Map<String, Any?> = MachineRegistryCodec.encodeChunk(entries.values)
}
