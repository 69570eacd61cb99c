package linemast.cloud

import linemast.domain.MachineType
import linemast.serialization.Fields

/** Encodes and decodes machine types. The cloud's response and the stored form are the same; see docs/glossary.md for the names. */
object MachineTypeCodec {
    /** Key of the machine types in the store. */
    const val KEY = "types"

    /** Decodes the cloud's response or the stored form. */
    fun decode(fields: Fields): List<MachineType> = fields.children("builds").map(::decodeType)

    /** Returns the stored form of [types]. */
    fun encode(types: List<MachineType>): Map<String, Any?> = mapOf("builds" to types.map(::encodeType))

    private fun decodeType(fields: Fields): MachineType {
        val price = fields.numberOrNull("price") ?: 0.0
        return MachineType(
            name = fields.text("name"),
            vcpus = fields.number("vcpus"),
            gpus = fields.numberOrNull("gpus") ?: 0.0,
            memoryGb = fields.number("memory_gb"),
            imageStorageGb = fields.numberOrNull("local_gb") ?: 0.0,
            fetchGbPerSecond = fields.numberOrNull("fetch_gb_per_s") ?: 1.0,
            price = price,
            spotPrice = fields.numberOrNull("market_price") ?: price,
            startupMicros = fields.durationMicrosOrNull("startup_s") ?: 0L,
            zones = fields.textsOrNull("yards") ?: emptyList(),
        )
    }

    private fun encodeType(type: MachineType): Map<String, Any?> = mapOf(
        "name" to type.name,
        "vcpus" to type.vcpus,
        "gpus" to type.gpus,
        "memory_gb" to type.memoryGb,
        "local_gb" to type.imageStorageGb,
        "fetch_gb_per_s" to type.fetchGbPerSecond,
        "price" to type.price,
        "market_price" to type.spotPrice,
        "startup_s" to type.startupMicros / MICROS_PER_SECOND,
        "yards" to type.zones,
    )

    private const val MICROS_PER_SECOND = 1e6
}
