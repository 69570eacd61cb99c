package linemast.upgrade

import linemast.serialization.Cbor
import linemast.serialization.Fields
import okio.ByteString
import okio.ByteString.Companion.decodeHex

/** A key and its value as a previous version wrote them, from a file under `src/test/resources/stored`. */
class StoredRecord(val key: String, val bytes: ByteString) {
    val fields: Fields get() = Cbor.decodeMap(bytes.toByteArray())

    /** The key without ids, numbers and node names; all records of one kind share it. */
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

        /** Returns at least one record of each kind, as [version] stored them. */
        fun recordsOf(version: String): List<StoredRecord> = load("records-$version.txt")

        /** Returns all records of a store whose controllers, of [version], stopped while jobs were unfinished. */
        fun snapshotOf(version: String): List<StoredRecord> = load("snapshot-$version.txt")

        /** Reads the file [name]: one record per line; lines that begin with `#` are comments. */
        private fun load(name: String): List<StoredRecord> {
            val stream = checkNotNull(StoredRecord::class.java.getResourceAsStream("/stored/$name")) { "test data file $name is missing" }
            return stream.bufferedReader().useLines { lines ->
                lines.filter { !it.startsWith('#') }.map { line ->
                    val (key, hex) = line.split(' ')
                    StoredRecord(key, hex.decodeHex())
                }.toList()
            }
        }
    }
}

/** Returns the names of all fields of a value, including those of nested maps and of maps in lists. */
internal fun fieldNames(value: Any?): Set<String> = when (value) {
    is Map<*, *> -> value.flatMapTo(sortedSetOf()) { (name, part) -> fieldNames(part).map { "$name.$it" } + name.toString() }
    is List<*> -> value.flatMapTo(sortedSetOf()) { fieldNames(it) }
    else -> emptySet()
}
