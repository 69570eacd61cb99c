package linemast.control.dependencies

import linemast.domain.JobPriority
import linemast.domain.JobRecord

/**
 * What the dependents of a job require of the job.
 *
 * @property priority the minimum priority that the job must have.
 * @property endByWallMicros wall time by which the job should end; null if there is no deadline.
 */
data class InheritedRequirement(val priority: JobPriority, val endByWallMicros: Long?) {
    /** Returns the higher priority and the earlier deadline of this requirement and [other]. */
    fun mergedWith(other: InheritedRequirement?): InheritedRequirement = if (other == null) {
        this
    } else {
        InheritedRequirement(
            minOf(priority, other.priority),
            listOfNotNull(endByWallMicros, other.endByWallMicros).minOrNull(),
        )
    }

    companion object {
        /** Returns the job's own priority and deadline as a requirement. */
        fun own(record: JobRecord) =
            InheritedRequirement(record.spec.priority, record.spec.deadlineMicros?.let { record.acceptedWallMicros + it })
    }
}

/**
 * Propagates priorities and deadlines from blocked jobs to the jobs that they depend on, directly or through other jobs.
 *
 * A deadline is propagated back along each path: a dependency has to end by the time at which its dependent must start, so
 * that the durations along a critical path add up.
 */
internal class RequirementPropagation(private val blocked: Map<String, BlockedJob>, private val durationMicros: (JobRecord) -> Long) {
    private val requirements = HashMap<String, InheritedRequirement>()
    private val queue = ArrayDeque(blocked.values)

    /** Returns the requirement on every job that blocked jobs depend on, by job id. */
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
