package linemast.scheduling

import linemast.domain.JobSpec
import linemast.domain.MachineType

/**
 * Keeps machines that only some jobs need free of tasks that fit elsewhere.
 *
 * Learnt from the jobs seen lately: a type is scarce for a job class whose tasks fit no smaller type.
 */
internal class ScarceTypes {
    private class Need(val spec: JobSpec, val typeNames: Set<String>, var seenMicros: Long)

    private val needs = HashMap<String, Need>()

    fun learn(specs: List<JobSpec>, types: Collection<MachineType>, nowMicros: Long) {
        needs.values.removeIf { nowMicros - it.seenMicros > MEMORY_MICROS }
        for (spec in specs) {
            val known = needs[spec.jobClass]
            if (known != null) {
                known.seenMicros = nowMicros
                continue
            }
            val fitting = types.filter { it.takes(spec) }
            val smallest = fitting.minOfOrNull { it.vcpus } ?: continue
            if (types.any { it.vcpus < smallest }) {
                needs[spec.jobClass] = Need(spec, fitting.mapTo(HashSet()) { it.name }, nowMicros)
            }
        }
    }

    /** What speaks against putting a task on machines of one type and kind. */
    class Scarcity(
        /** Whether other job classes need such machines more; spot ones are needed by those that may use them. */
        val isScarce: Boolean,
        /** Whether work that got there could not be stopped for those that need them: it must not get there. */
        val isClosed: Boolean,
        /** The types that serve those who need them. */
        val neededTypes: Set<String>,
    )

    fun of(type: MachineType, spot: Boolean, spec: JobSpec): Scarcity {
        val others = others(type, spot, spec)
        return Scarcity(
            others.isNotEmpty(),
            others.any { it.spec.priority >= spec.priority },
            others.firstOrNull()?.typeNames ?: emptySet(),
        )
    }

    fun isClosedTo(type: MachineType, spot: Boolean, spec: JobSpec): Boolean =
        others(type, spot, spec).any { it.spec.priority >= spec.priority }

    private fun others(type: MachineType, spot: Boolean, spec: JobSpec): List<Need> {
        if (needs[spec.jobClass]?.typeNames?.contains(type.name) == true) return emptyList()
        return needs.values.filter { type.name in it.typeNames && (it.spec.spot || !spot) }
    }

    private companion object {
        const val MEMORY_MICROS = 900_000_000L
    }
}
