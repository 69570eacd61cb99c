package linemast.upgrade

import linemast.serialization.Cbor
import linemast.serialization.Fields
import okio.ByteString
import okio.ByteString.Companion.decodeHex

/** A key and its value as an earlier version wrote them, from a file under `src/test/resources/stored`. */
class StoredRecord(val key: String, val bytes: ByteString) {
    val fields: Fields get() = Cbor.decodeMap(bytes.toByteArray())

    /** What the records of one kind have in common: their key, without ids, numbers and names of nodes. */
    val kind: String
        get() = when {
            key.startsWith("admission/demand/") -> "admission/demand/"
            key.startsWith("admission/") -> key
            '/' in key -> key.substringBefore('/') + "/"
            else -> key
        }

    override fun toString() = key

    companion object {
        /** Commits of the versions whose records are kept as test data. */
        val VERSIONS = listOf("21f1c36", "828d18a")

        /** One record or more of each kind, as [version] stored them. */
        fun recordsOf(version: String): List<StoredRecord> = load("records-$version.txt")

        /** All records of a store that controllers of [version] have left in the middle of their work. */
        fun snapshotOf(version: String): List<StoredRecord> = load("snapshot-$version.txt")

        /** Reads the file [name]: a record a line, comments after `#`. */
        private fun load(name: String): List<StoredRecord> {
            val stream = checkNotNull(StoredRecord::class.java.getResourceAsStream("/stored/$name")) { "no test data $name" }
            return stream.bufferedReader().useLines { lines ->
                lines.filter { !it.startsWith('#') }.map { line ->
                    val (key, hex) = line.split(' ')
                    StoredRecord(key, hex.decodeHex())
                }.toList()
            }
        }
    }
}

/** The names of all fields of a value, those of nested maps and of the maps in lists included. */
internal fun fieldNames(value: Any?): Set<String> = when (value) {
    is Map<*, *> -> value.flatMapTo(sortedSetOf()) { (name, part) -> fieldNames(part).map { "$name.$it" } + name.toString() }
    is List<*> -> value.flatMapTo(sortedSetOf()) { fieldNames(it) }
    else -> emptySet()
}
