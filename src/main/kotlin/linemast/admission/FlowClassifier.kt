package linemast.admission

import linemast.domain.JobSpec
import linemast.settings.Objective

/**
 * Assigns jobs to flows.
 *
 * In each team, all job classes without an objective share one flow, so that the number of flows stays small whatever job classes
 * users submit.
 */
class FlowClassifier(objectives: List<Objective>) {
    private val knownJobClasses = objectives.mapNotNullTo(HashSet()) { it.jobClass }

    /** Returns the flow of a job. */
    fun flowOf(spec: JobSpec): Flow = Flow(spec.team, if (spec.jobClass in knownJobClasses) spec.jobClass else OTHER_JOB_CLASSES)

    private companion object {
        /** Differs from every job class, because names in the protocol contain no asterisk. */
        const val OTHER_JOB_CLASSES = "*"
    }
}
