package linemast.admission

import linemast.domain.JobSpec
import linemast.settings.Objective

/** Tells the flow of a job. Classes that no aim names share one flow of their team, so that there are few flows whatever users write. */
class FlowClassifier(objectives: List<Objective>) {
    private val known = objectives.mapNotNullTo(HashSet()) { it.jobClass }

    /** The flow of a job. */
    fun flowOf(spec: JobSpec): Flow = Flow(spec.team, if (spec.jobClass in known) spec.jobClass else OTHER)

    private companion object {
        /** No job class: the protocol's names hold no asterisk. */
        const val OTHER = "*"
    }
}
