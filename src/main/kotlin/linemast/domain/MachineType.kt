package linemast.domain

/** A machine type with its size and prices, as the cloud describes it. */
class MachineType(
    /** Name that the cloud gives the type; jobs list allowed types by it. */
    val name: String,
    /** Vcpus of one machine. */
    val vcpus: Double,
    /** GPUs of one machine. */
    val gpus: Double,
    /** Memory of one machine, in gigabytes. */
    val memoryGb: Double,
    /** Local storage for images, in gigabytes; 0 if the cloud does not say. */
    val imageStorageGb: Double,
    /** Rate at which a machine fetches images, in gigabytes a second; concurrent fetches may share it. */
    val fetchGbPerSecond: Double,
    /** Price of one machine for an hour, if it is not a spot machine. */
    val price: Double,
    /** Price of one spot machine for an hour when the types were read; it moves. */
    val spotPrice: Double,
    /** Usual time from the request to the first heartbeat of the worker; single machines may take several times as long. */
    val startupMicros: Long,
    /** Zones in which the cloud offers the type. */
    val zones: List<String>,
) {
    /** Whether one task of [spec] fits an empty machine of this type that the job allows. */
    fun canHost(spec: JobSpec): Boolean = (spec.machineTypes == null || name in spec.machineTypes) &&
        spec.vcpus <= vcpus &&
        spec.gpus <= gpus &&
        spec.memoryGb <= memoryGb
}
