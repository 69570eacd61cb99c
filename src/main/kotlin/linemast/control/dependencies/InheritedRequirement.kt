package linemast.control.dependencies

import linemast.domain.JobPriority
import linemast.domain.JobRecord

/**
 * What the dependents of a job require of it.
 *
 * @property priority the priority that it has to have at least.
 * @property endByWallMicros time of day by which it should end; null if nothing sets one.
 */
data class InheritedRequirement(val priority: JobPriority, val endByWallMicros: Long?) {
    /** The stricter of both in each respect. */
    fun mergedWith(other: InheritedRequirement?): InheritedRequirement = if (other == null) {
        this
    } else {
        InheritedRequirement(
            minOf(priority, other.priority),
            listOfNotNull(endByWallMicros, other.endByWallMicros).minOrNull(),
        )
    }

    companion object {
        /** The priority and the deadline that a job has by itself. */
        fun own(record: JobRecord) =
            InheritedRequirement(record.spec.priority, record.spec.deadlineMicros?.let { record.acceptedWallMicros + it })
    }
}

/**
 * Passes priorities and deadlines from blocked jobs to the jobs they depend on, directly or through others.
 *
 * A deadline passes back along each path: a dependency has to end by the time at which its dependent must start, so that
 * along a critical path the durations add up.
 */
internal class RequirementPropagation(private val blocked: Map<String, BlockedJob>, private val durationMicros: (JobRecord) -> Long) {
    private val requirements = HashMap<String, InheritedRequirement>()
    private val queue = ArrayDeque(blocked.values)

    /** The requirement of every job that others depend on, by its id. */
    fun propagate(): Map<String, InheritedRequirement> {
        var visits = 0
        while (queue.isNotEmpty() && visits++ < MAX_VISITS) visit(queue.removeFirst())
        return requirements
    }

    private fun visit(job: BlockedJob) {
        val requirement = InheritedRequirement.own(job.record).mergedWith(requirements[job.id])
        val startBy = requirement.endByWallMicros?.minus(durationMicros(job.record))
        val dependencyRequirement = requirement.copy(endByWallMicros = startBy)
        job.dependencies.forEach { addRequirement(it, dependencyRequirement) }
    }

    private fun addRequirement(id: String, requirement: InheritedRequirement) {
        val previous = requirements[id]
        val merged = requirement.mergedWith(previous)
        if (merged == previous) return
        requirements[id] = merged
        blocked[id]?.let { queue += it }
    }
}
