package linemast.domain

/**
 * Used and free resources of one machine: vcpus, GPUs, memory, and space in its heartbeats.
 *
 * Amounts are those that the specs of the placed tasks request; actual use is not measured. Ended tasks take up space in the heartbeats
 * until the worker has removed them.
 */
class MachineCapacity(private val type: MachineType) {
    private var usedVcpus = 0.0
    private var usedGpus = 0.0
    private var usedMemoryGb = 0.0
    private var placedHeartbeatBytes = 0
    private var endedHeartbeatBytes = 0

    /** Vcpus that no placed task requests. */
    val freeVcpus: Double get() = type.vcpus - usedVcpus

    /** Bytes that the machine's heartbeats have left for further tasks; negative if the worker holds more tasks than they can list. */
    val freeHeartbeatBytes: Int get() = HeartbeatSize.CAPACITY_BYTES - placedHeartbeatBytes - endedHeartbeatBytes

    /** Whether one more task of [job] fits the free resources. */
    fun fits(job: Job): Boolean = fitsHeartbeat(job) && fitsResources(job.spec)

    /** Whether the machine's heartbeats can list one more task of [job]. */
    fun fitsHeartbeat(job: Job): Boolean {
        val remainingBytes = freeHeartbeatBytes - job.heartbeatEntryBytes
        return remainingBytes >= HeartbeatSize.RESERVED_BYTES || (remainingBytes >= 0 && mayUseReserve(job))
    }

    /** Whether one more task of [spec] fits the free vcpus, GPUs and memory. */
    fun fitsResources(spec: JobSpec): Boolean = spec.vcpus <= type.vcpus - usedVcpus + EPSILON &&
        spec.gpus <= type.gpus - usedGpus + EPSILON &&
        spec.memoryGb <= type.memoryGb - usedMemoryGb + EPSILON

    /** Returns an upper bound of the number of tasks of [job] that fit; only vcpus and the space in heartbeats are considered. */
    fun freeSlots(job: Job): Int {
        val byHeartbeat = (freeHeartbeatBytesFor(job) / job.heartbeatEntryBytes).coerceAtLeast(0)
        if (job.spec.vcpus <= 0) return byHeartbeat
        return minOf(byHeartbeat, Math.floor(freeVcpus / job.spec.vcpus + EPSILON).toInt().coerceAtLeast(0))
    }

    private fun freeHeartbeatBytesFor(job: Job): Int = freeHeartbeatBytes - if (mayUseReserve(job)) 0 else HeartbeatSize.RESERVED_BYTES

    private fun mayUseReserve(job: Job): Boolean = job.hasFewPlacements || !type.isLimitedByHeartbeat(job)

    /** Allocates the resources of the task of [placement]; a task of an unknown job takes up all vcpus, GPUs and memory. */
    fun allocate(placement: Placement) = addUsed(placement, 1)

    /** Releases the resources that [allocate] has allocated for the task of [placement]. */
    fun release(placement: Placement) = addUsed(placement, -1)

    private fun addUsed(placement: Placement, sign: Int) {
        val spec = placement.job?.spec
        usedVcpus += sign * (spec?.vcpus ?: type.vcpus)
        usedGpus += sign * (spec?.gpus ?: type.gpus)
        usedMemoryGb += sign * (spec?.memoryGb ?: type.memoryGb)
        placedHeartbeatBytes += sign * placement.heartbeatEntryBytes
    }

    /** Adds [bytes] to what ended tasks take up of the heartbeats. */
    fun addEnded(bytes: Int) {
        endedHeartbeatBytes += bytes
    }

    /** Counts no ended tasks any more. */
    fun clearEnded() {
        endedHeartbeatBytes = 0
    }

    private companion object {
        /** Tolerance for rounding errors in sums of fractions of a vcpu, GPU or gigabyte. */
        const val EPSILON = 1e-6
    }
}
