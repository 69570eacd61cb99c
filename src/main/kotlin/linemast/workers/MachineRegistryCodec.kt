package linemast.workers

import linemast.domain.Machine
import linemast.domain.MachineType
import linemast.serialization.Fields
import linemast.serialization.JsonSize

/** Encodes and decodes the stored form of the machine registry; see docs/glossary.md for the names in the store. */
internal object MachineRegistryCodec {
    /** Size of a chunk without entries in the JSON form. */
    const val EMPTY_CHUNK_BYTES = 11

    /** Returns the entries of a chunk, each with the fields of one machine. */
    fun decodeChunk(fields: Fields): List<Fields> = fields.children("rigs")

    /** Returns the stored form of a chunk with [entries], which come from [encode] or from the store. */
    fun encodeChunk(entries: Collection<Map<String, Any?>>): Map<String, Any?> = mapOf("rigs" to entries.toList())

    /** Decodes one machine; returns null if its type is no longer among [types]. */
    fun decode(fields: Fields, types: Map<String, MachineType>): Machine? {
        val type = types[fields.text("build")] ?: return null
        val machine = Machine(fields.text("rig"), type, fields.text("yard"), fields.flag("loaners"))
        machine.isBaseline = fields.flag("owned")
        return machine
    }

    /** Returns the entry of one machine. */
    fun encode(machine: Machine): Map<String, Any?> = mapOf(
        "rig" to machine.name,
        "build" to machine.type.name,
        "yard" to machine.zone,
        "loaners" to machine.spot,
        "owned" to machine.isBaseline,
    )

    /** Returns the number of bytes that an entry adds to a chunk in the JSON form, including the comma after it. */
    fun sizeOf(entry: Map<String, Any?>): Int = JsonSize.of(entry) + 1
}
