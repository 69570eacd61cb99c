package linemast.admission

import linemast.domain.JobSpec
import linemast.settings.Objective

/**
 * Tells the flow of a job.
 *
 * Job classes that no objective names share one flow of their team, so that there are few flows whatever users write.
 */
class FlowClassifier(objectives: List<Objective>) {
    private val knownJobClasses = objectives.mapNotNullTo(HashSet()) { it.jobClass }

    /** The flow of a job. */
    fun flowOf(spec: JobSpec): Flow = Flow(spec.team, if (spec.jobClass in knownJobClasses) spec.jobClass else OTHER_JOB_CLASSES)

    private companion object {
        /** Cannot be a job class: names in the protocol hold no asterisk. */
        const val OTHER_JOB_CLASSES = "*"
    }
}
