package linemast.placement

import linemast.cloud.MachineType
import linemast.jobs.JobSpec
import linemast.workers.Machine

/**
 * Keeps machines that only some jobs need free of tasks that fit elsewhere.
 *
 * Learnt from the jobs seen lately: a type is scarce for a lane whose tasks fit no smaller type.
 */
internal class ScarceTypes {
    private class Need(val spec: JobSpec, val typeNames: Set<String>, var seenMicros: Long)

    private val needs = HashMap<String, Need>()

    fun learn(specs: List<JobSpec>, types: Collection<MachineType>, nowMicros: Long) {
        needs.values.removeIf { nowMicros - it.seenMicros > MEMORY_MICROS }
        for (spec in specs) {
            val known = needs[spec.lane]
            if (known != null) {
                known.seenMicros = nowMicros
                continue
            }
            val fitting = types.filter { it.takes(spec) }
            val smallest = fitting.minOfOrNull { it.vcpus } ?: continue
            if (types.any { it.vcpus < smallest }) {
                needs[spec.lane] = Need(spec, fitting.mapTo(HashSet()) { it.name }, nowMicros)
            }
        }
    }

    /** Whether other lanes need [type] more than [spec] does. */
    fun isScarceFor(type: MachineType, spec: JobSpec): Boolean =
        needs[spec.lane]?.typeNames?.contains(type.name) != true && needs.values.any { type.name in it.typeNames }

    /** Whether [machine] had better not take a task of [spec]. */
    fun keepFree(spec: JobSpec, machine: Machine, machines: Collection<Machine>): Boolean {
        if (!isScarceFor(machine.type, spec)) return false
        val others = needs.values.filter { machine.type.name in it.typeNames }
        // Work that could not be stopped for such a job must not get in its way at all.
        if (others.any { it.spec.urgency >= spec.urgency }) return true
        if (machine.placements.isNotEmpty()) return false
        val idle = machines.count { it.type.name in others.first().typeNames && it.placements.isEmpty() && !it.draining }
        return idle <= KEPT_IDLE
    }

    private companion object {
        const val MEMORY_MICROS = 900_000_000L
        const val KEPT_IDLE = 1
    }
}
