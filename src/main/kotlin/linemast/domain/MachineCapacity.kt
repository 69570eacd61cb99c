package linemast.domain

/**
 * Used and free resources of one machine.
 *
 * Amounts are those that the specs of the placed tasks request; actual use is not measured.
 */
class MachineCapacity(private val type: MachineType) {
    private var usedVcpus = 0.0
    private var usedGpus = 0.0
    private var usedMemoryGb = 0.0

    /** Vcpus that no placed task requests. */
    val freeVcpus: Double get() = type.vcpus - usedVcpus

    /** Whether one more task of [spec] fits the free resources. */
    fun fits(spec: JobSpec): Boolean = spec.vcpus <= type.vcpus - usedVcpus + EPSILON &&
        spec.gpus <= type.gpus - usedGpus + EPSILON &&
        spec.memoryGb <= type.memoryGb - usedMemoryGb + EPSILON

    /** Returns an upper bound of the number of tasks of [spec] that fit the free resources; only vcpus are considered. */
    fun freeSlots(spec: JobSpec): Int {
        if (spec.vcpus <= 0) return Int.MAX_VALUE / 2
        return Math.floor(freeVcpus / spec.vcpus + EPSILON).toInt().coerceAtLeast(0)
    }

    /** Allocates the resources of one task of [spec]; a task of an unknown job, whose spec is null, uses the whole machine. */
    fun allocate(spec: JobSpec?) = addUsed(spec, 1)

    /** Releases the resources that [allocate] has allocated for one task of [spec]. */
    fun release(spec: JobSpec?) = addUsed(spec, -1)

    private fun addUsed(spec: JobSpec?, sign: Int) {
        usedVcpus += sign * (spec?.vcpus ?: type.vcpus)
        usedGpus += sign * (spec?.gpus ?: type.gpus)
        usedMemoryGb += sign * (spec?.memoryGb ?: type.memoryGb)
    }

    private companion object {
        /** Tolerance for rounding errors in sums of fractions of a vcpu, GPU or gigabyte. */
        const val EPSILON = 1e-6
    }
}
