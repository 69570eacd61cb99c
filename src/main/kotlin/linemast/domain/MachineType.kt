package linemast.domain

/** A machine type with its size and prices, as the cloud describes it. */
class MachineType(
    val name: String,
    val vcpus: Double,
    val gpus: Double,
    val memoryGb: Double,
    val cacheGb: Double,
    val fetchGbPerS: Double,
    val price: Double,
    val spotPrice: Double,
    val startupMicros: Long,
    val zones: List<String>,
) {
    /** Whether one task of [spec] fits an empty machine of this type that the job allows. */
    fun canHost(spec: JobSpec): Boolean = (spec.machineTypes == null || name in spec.machineTypes) &&
        spec.vcpus <= vcpus &&
        spec.gpus <= gpus &&
        spec.memoryGb <= memoryGb
}
