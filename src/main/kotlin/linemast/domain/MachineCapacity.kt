package linemast.domain

/**
 * Used and free resources of one machine.
 *
 * Amounts are those that the specs of the placed tasks request, not measured use.
 */
class MachineCapacity(private val type: MachineType) {
    private var usedVcpus = 0.0
    private var usedGpus = 0.0
    private var usedMemoryGb = 0.0

    /** Vcpus that no placed task has requested. */
    val freeVcpus: Double get() = type.vcpus - usedVcpus

    /** Whether one more task of [spec] fits the free resources. */
    fun fits(spec: JobSpec): Boolean = spec.vcpus <= type.vcpus - usedVcpus + EPSILON &&
        spec.gpus <= type.gpus - usedGpus + EPSILON &&
        spec.memoryGb <= type.memoryGb - usedMemoryGb + EPSILON

    /** Upper bound of the tasks of [spec] that fit the free resources; it counts vcpus alone. */
    fun freeSlots(spec: JobSpec): Int {
        if (spec.vcpus <= 0) return Int.MAX_VALUE / 2
        return Math.floor(freeVcpus / spec.vcpus + EPSILON).toInt().coerceAtLeast(0)
    }

    /** Takes the resources of one task of [spec]; a task of an unknown job, with a null spec, takes the whole machine. */
    fun allocate(spec: JobSpec?) = addUsed(spec, 1)

    /** Gives back what [allocate] took for one task of [spec]. */
    fun release(spec: JobSpec?) = addUsed(spec, -1)

    private fun addUsed(spec: JobSpec?, sign: Int) {
        usedVcpus += sign * (spec?.vcpus ?: type.vcpus)
        usedGpus += sign * (spec?.gpus ?: type.gpus)
        usedMemoryGb += sign * (spec?.memoryGb ?: type.memoryGb)
    }

    private companion object {
        /** Tolerance for sums of fractions of a vcpu, GPU or gigabyte. */
        const val EPSILON = 1e-6
    }
}
