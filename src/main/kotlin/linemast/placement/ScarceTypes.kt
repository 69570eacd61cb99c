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

    /** Whether other lanes need machines of [type] more than [spec] does; spot ones are needed by those that may use them. */
    fun isScarceFor(type: MachineType, loaners: Boolean, spec: JobSpec): Boolean = others(type, loaners, spec).isNotEmpty()

    /** Whether work of [spec], once on such a machine, could not be stopped for those that need it: it must not get there. */
    fun isClosedTo(type: MachineType, loaners: Boolean, spec: JobSpec): Boolean =
        others(type, loaners, spec).any { it.spec.urgency >= spec.urgency }

    /** Whether [machine] had better not take a task of [spec]. */
    fun keepFree(spec: JobSpec, machine: Machine, machines: Collection<Machine>): Boolean {
        val others = others(machine.type, machine.loaners, spec)
        if (others.isEmpty()) return false
        if (others.any { it.spec.urgency >= spec.urgency }) return true
        if (machine.placements.isNotEmpty()) return false
        val idle = machines.count { it.type.name in others.first().typeNames && it.placements.isEmpty() && !it.draining }
        return idle <= KEPT_IDLE
    }

    private fun others(type: MachineType, loaners: Boolean, spec: JobSpec): List<Need> {
        if (needs[spec.lane]?.typeNames?.contains(type.name) == true) return emptyList()
        return needs.values.filter { type.name in it.typeNames && (it.spec.loaners || !loaners) }
    }

    private companion object {
        const val MEMORY_MICROS = 900_000_000L
        const val KEPT_IDLE = 1
    }
}
