package linemast.admission

/**
 * What all controllers admit, as the leader has last decided it.
 *
 * A decision follows from the plan and the submission alone, not from anything that a controller has counted. So two
 * controllers with the same epoch never decide differently.
 *
 * @property epoch number of the plan among those of a leader's term.
 * @property fencingToken fencing token of the leader that made the plan.
 * @property ranges the ids that limited flows admit; other flows are not limited.
 */
data class AdmissionPlan(val epoch: Long, val fencingToken: Long, val ranges: Map<Flow, HashRange>) {
    /** What to do with the submission of job [id] in [flow]. */
    fun decide(flow: Flow, id: String): AdmissionDecision {
        val range = ranges[flow] ?: return AdmissionDecision.Admitted
        val position = HashRing.positionOf(id)
        if (position in range) return AdmissionDecision.Admitted
        return AdmissionDecision.Deferred(range.secondsUntil(position).coerceIn(1, MAX_RETRY_AFTER_SECONDS).toInt())
    }

    /** The plan without limits. */
    companion object {
        /** Users wait for no longer, whatever they are told. */
        private const val MAX_RETRY_AFTER_SECONDS = 30L

        /** Everything is admitted. */
        val UNLIMITED = AdmissionPlan(0, 0, emptyMap())
    }
}
