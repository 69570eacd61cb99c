package linemast.cloud

import linemast.domain.Job
import linemast.domain.MachineShape
import linemast.domain.MachineType

/** Tolerance for rounding errors in divisions of vcpus. */
internal const val SLOT_EPSILON = 1e-6

/** Returns how many tasks of [job] an empty machine of [type] has room for. */
internal fun slotsPerMachine(type: MachineType, job: Job): Double = Math.floor(type.vcpus / type.plannedVcpus(job) + SLOT_EPSILON)

/** Machines of one shape, running or requested, as bins into which the demand of jobs is packed. Only vcpus are considered. */
internal class MachineSupply(val shape: MachineShape) {
    /** Number of machines, including those that are packed already. */
    var machines = 0
        private set
    private var emptyMachines = 0

    /** Free vcpus on the machine that was packed last. */
    private var freeVcpus = 0.0

    /** Adds [count] empty machines. */
    fun add(count: Int) {
        machines += count
        emptyMachines += count
    }

    /** Packs up to [slots] tasks of [job] and returns the number that fits. */
    fun pack(job: Job, slots: Double): Double {
        if (slots <= 0 || !shape.allows(job.spec)) return 0.0
        val slotVcpus = shape.type.plannedVcpus(job)
        val onLast = minOf(slots, Math.floor(freeVcpus / slotVcpus + SLOT_EPSILON))
        freeVcpus -= onLast * slotVcpus
        val perMachine = slotsPerMachine(shape.type, job)
        val onEmpty = minOf(slots - onLast, emptyMachines * perMachine)
        if (onEmpty <= 0) return onLast
        val filled = Math.ceil(onEmpty / perMachine - SLOT_EPSILON).toInt()
        emptyMachines -= filled
        freeVcpus = maxOf(freeVcpus, shape.type.vcpus - (onEmpty - (filled - 1) * perMachine) * slotVcpus)
        return onLast + onEmpty
    }
}
