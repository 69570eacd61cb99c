package linemast.admission

/**
 * The leader's plan of the submissions that all controllers admit.
 *
 * A decision depends only on the plan and the submission, not on anything that a controller has counted. Two controllers with the
 * same plan therefore never decide differently.
 *
 * @property epoch number of the plan, which increases with each plan of a leader's term.
 * @property fencingToken fencing token of the leader that made the plan.
 * @property ranges for each limited flow, the hash positions of the job ids that are admitted; other flows are not limited.
 */
data class AdmissionPlan(val epoch: Long, val fencingToken: Long, val ranges: Map<Flow, HashRange>) {
    /** Decides on the submission of job [id] in [flow]. */
    fun decide(flow: Flow, id: String): AdmissionDecision {
        val range = ranges[flow] ?: return AdmissionDecision.Admitted
        val position = HashRing.positionOf(id)
        if (position in range) return AdmissionDecision.Admitted
        return AdmissionDecision.Deferred(range.secondsUntil(position).coerceIn(1, MAX_RETRY_AFTER_SECONDS).toInt())
    }

    /** Holds the plan without limits. */
    companion object {
        /** Users wait no longer than this before a retry, whatever the response says. */
        private const val MAX_RETRY_AFTER_SECONDS = 30L

        /** The plan that admits every submission. */
        val UNLIMITED = AdmissionPlan(0, 0, emptyMap())
    }
}
