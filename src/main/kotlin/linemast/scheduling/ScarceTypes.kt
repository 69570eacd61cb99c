package linemast.scheduling

import linemast.domain.JobSpec
import linemast.domain.MachineType

/**
 * Determines which machine types are scarce: some job classes fit no smaller type, so tasks that fit on other types should leave
 * these machines to them.
 *
 * The demand of job classes is derived from recent jobs.
 */
internal class ScarceTypes {
    /** A job class, represented by the [spec] of one of its jobs, that fits only on the types [typeNames] although smaller types exist. */
    private class Demand(val spec: JobSpec, val typeNames: Set<String>, var lastSeenMicros: Long)

    /** The reasons against placing a task on machines of one type. */
    data class Scarcity(
        /** Whether other job classes need such machines more; spot machines only by job classes that may run on spot machines. */
        val isScarce: Boolean,
        /**
         * Whether the task must not be placed on such machines, because it could not be preempted for a job class that needs the
         * machine.
         */
        val isExcluded: Boolean,
        /** The types that fit a job class that needs such machines. */
        val neededTypes: Set<String>,
    )

    private val demands = HashMap<String, Demand>()

    /** Updates the demand from the [specs] of the present jobs, and removes job classes without a recent job. */
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

    /** Returns how scarce machines of [type] are for tasks of [spec]: spot machines if [spot], on-demand machines otherwise. */
    fun scarcityOf(type: MachineType, spot: Boolean, spec: JobSpec): Scarcity {
        val others = demandsOfOthers(type, spot, spec)
        return Scarcity(
            isScarce = others.isNotEmpty(),
            isExcluded = others.any { it.spec.priority >= spec.priority },
            neededTypes = others.firstOrNull()?.typeNames ?: emptySet(),
        )
    }

    /**
     * Whether tasks of [spec] are never placed on machines of [type] although they would fit: spot machines if [spot], on-demand
     * machines otherwise.
     */
    fun isExcluded(type: MachineType, spot: Boolean, spec: JobSpec): Boolean =
        demandsOfOthers(type, spot, spec).any { it.spec.priority >= spec.priority }

    /** Returns the job classes that fit only [type] and other types as large. */
    fun classesNeeding(type: MachineType): Set<String> = demands.filterValues { type.name in it.typeNames }.keys

    private fun demandsOfOthers(type: MachineType, spot: Boolean, spec: JobSpec): List<Demand> {
        if (demands[spec.jobClass]?.typeNames?.contains(type.name) == true) return emptyList()
        return demands.values.filter { type.name in it.typeNames && (it.spec.allowsSpot || !spot) }
    }

    private companion object {
        /** The demand of a job class is removed when it had no job for this long. */
        const val RETENTION_MICROS = 900_000_000L
    }
}
