package linemast.domain

/** A machine type with its size and prices, as the cloud describes it. */
class MachineType(
    /** Name of the type in the cloud; jobs list their allowed types by this name. */
    val name: String,
    /** Vcpus of one machine. */
    val vcpus: Double,
    /** GPUs of one machine. */
    val gpus: Double,
    /** Memory of one machine, in gigabytes. */
    val memoryGb: Double,
    /** Local storage for images, in gigabytes; 0 if the cloud does not specify it. */
    val imageStorageGb: Double,
    /** Rate at which a machine fetches images, in gigabytes per second; concurrent fetches may share this rate. */
    val fetchGbPerSecond: Double,
    /** Price of one on-demand machine per hour. */
    val price: Double,
    /** Price of one spot machine per hour when the machine types were read; the cloud changes this price. */
    val spotPrice: Double,
    /** Usual time from the scale-out request to the first heartbeat of the worker; single machines may take several times as long. */
    val startupMicros: Long,
    /** Zones in which the cloud offers the type. */
    val zones: List<String>,
) {
    /** Whether the job allows this type and one task of [spec] fits an empty machine of it. */
    fun canHost(spec: JobSpec): Boolean = (spec.machineTypes == null || name in spec.machineTypes) &&
        spec.vcpus <= vcpus &&
        spec.gpus <= gpus &&
        spec.memoryGb <= memoryGb

    /** Whether the heartbeats of a machine of this type can list fewer tasks of [job] than its vcpus and its memory have room for. */
    fun isLimitedByHeartbeat(job: Job): Boolean {
        val maxTasks = job.maxListedTasks
        return maxTasks * job.spec.vcpus < vcpus && maxTasks * job.spec.memoryGb < memoryGb && maxTasks * job.spec.gpus <= gpus
    }

    /**
     * Returns how many vcpus of a machine of this type one task of [job] takes up in plans: those that it requests, or more if the
     * machine's heartbeats can list fewer tasks than its vcpus have room for.
     */
    fun plannedVcpus(job: Job): Double = maxOf(job.spec.vcpus, vcpus / job.maxListedTasks)
}
