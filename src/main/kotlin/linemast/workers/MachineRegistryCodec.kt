package linemast.workers

import linemast.domain.Machine
import linemast.domain.MachineType
import linemast.serialization.Fields
import linemast.serialization.JsonSize

/** The stored form of the machine registry; see docs/glossary.md for the names. */
internal object MachineRegistryCodec {
    /** Bytes of a chunk without entries, in the JSON form. */
    const val EMPTY_CHUNK_BYTES = 11

    /** The entries of a chunk, each with the fields of one machine. */
    fun decodeChunk(fields: Fields): List<Fields> = fields.children("rigs")

    /** A chunk with [entries], which [encode] or the store gave. */
    fun encodeChunk(entries: Collection<Map<String, Any?>>): Map<String, Any?> = mapOf("rigs" to entries.toList())

    /** Reads one machine; null if its type is not among [types] any more. */
    fun decode(fields: Fields, types: Map<String, MachineType>): Machine? {
        val type = types[fields.text("build")] ?: return null
        val machine = Machine(fields.text("rig"), type, fields.text("yard"), fields.flag("loaners"))
        machine.isBaseline = fields.flag("owned")
        return machine
    }

    /** The entry of one machine. */
    fun encode(machine: Machine): Map<String, Any?> = mapOf(
        "rig" to machine.name,
        "build" to machine.type.name,
        "yard" to machine.zone,
        "loaners" to machine.spot,
        "owned" to machine.isBaseline,
    )

    /** Bytes that an entry adds to a chunk in the JSON form, with the comma behind it. */
    fun sizeOf(entry: Map<String, Any?>): Int = JsonSize.of(entry) + 1
}
