package linemast.scheduling

import linemast.domain.JobSpec
import linemast.domain.MachineType

/**
 * Tells which machine types are scarce: some job classes fit no smaller type, so tasks that fit elsewhere should leave
 * these machines to them.
 *
 * Learned from the jobs seen lately.
 */
internal class ScarceTypes {
    /** A job class, by one of its jobs, that fits only on the types [typeNames], while there are smaller ones. */
    private class Demand(val spec: JobSpec, val typeNames: Set<String>, var lastSeenMicros: Long)

    /** What stands against placing a task on machines of one type. */
    data class Scarcity(
        /** Whether other job classes need such machines more; spot machines are needed only by those that may use them. */
        val isScarce: Boolean,
        /** Whether the task could not be preempted for those that need the machine: it must not be placed there. */
        val isExcluded: Boolean,
        /** The types that serve those that need such machines. */
        val neededTypes: Set<String>,
    )

    private val demands = HashMap<String, Demand>()

    /** Learns from the present jobs' [specs], and forgets job classes that have not been seen for long. */
    fun learn(specs: List<JobSpec>, types: Collection<MachineType>, nowMicros: Long) {
        demands.values.removeIf { nowMicros - it.lastSeenMicros > RETENTION_MICROS }
        for (spec in specs) {
            val known = demands[spec.jobClass]
            if (known == null) {
                demandOf(spec, types, nowMicros)?.let { demands[spec.jobClass] = it }
            } else {
                known.lastSeenMicros = nowMicros
            }
        }
    }

    private fun demandOf(spec: JobSpec, types: Collection<MachineType>, nowMicros: Long): Demand? {
        val fitting = types.filter { it.canHost(spec) }
        val smallestVcpus = fitting.minOfOrNull { it.vcpus } ?: return null
        if (types.none { it.vcpus < smallestVcpus }) return null
        return Demand(spec, fitting.mapTo(HashSet()) { it.name }, nowMicros)
    }

    /** How scarce machines of [type], spot or not, are for tasks of [spec]. */
    fun scarcityOf(type: MachineType, spot: Boolean, spec: JobSpec): Scarcity {
        val others = demandsOfOthers(type, spot, spec)
        return Scarcity(
            isScarce = others.isNotEmpty(),
            isExcluded = others.any { it.spec.priority >= spec.priority },
            neededTypes = others.firstOrNull()?.typeNames ?: emptySet(),
        )
    }

    /** Whether no task of [spec] is ever placed on machines of [type], although it would fit. */
    fun isTypeExcluded(type: MachineType, spot: Boolean, spec: JobSpec): Boolean =
        demandsOfOthers(type, spot, spec).any { it.spec.priority >= spec.priority }

    private fun demandsOfOthers(type: MachineType, spot: Boolean, spec: JobSpec): List<Demand> {
        if (demands[spec.jobClass]?.typeNames?.contains(type.name) == true) return emptyList()
        return demands.values.filter { type.name in it.typeNames && (it.spec.spot || !spot) }
    }

    private companion object {
        /** A job class that was not seen for this long is forgotten. */
        const val RETENTION_MICROS = 900_000_000L
    }
}
