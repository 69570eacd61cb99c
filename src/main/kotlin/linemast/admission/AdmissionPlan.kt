package linemast.admission

/** What a controller does with a new submission. */
sealed interface AdmissionDecision {
    /** It is taken. */
    data object Admitted : AdmissionDecision

    /** It is not taken now; asked again after [retryAfterSeconds] it will be, unless the flow grows meanwhile. */
    data class Deferred(val retryAfterSeconds: Int) : AdmissionDecision
}

/**
 * What all controllers admit, as the leader has last decided it. Flows without an arc are not limited.
 *
 * A decision follows from the plan and the submission alone, not from anything that a controller has counted. So two
 * controllers with the same epoch never decide differently.
 */
data class AdmissionPlan(
    /** Counts the plans of a term. */
    val epoch: Long,
    /** The term that made it. */
    val fencingToken: Long,
    val ranges: Map<Flow, HashRange>,
) {
    /** What to do with the submission of [id] in [flow]. */
    fun decide(flow: Flow, id: String): AdmissionDecision {
        val range = ranges[flow] ?: return AdmissionDecision.Admitted
        val point = HashRing.positionOf(id)
        if (range.contains(point)) return AdmissionDecision.Admitted
        return AdmissionDecision.Deferred(range.secondsUntil(point).coerceIn(1, MAX_RETRY_SECONDS).toInt())
    }

    companion object {
        /** Users wait for no longer, whatever they are told. */
        private const val MAX_RETRY_SECONDS = 30L

        /** Everything is admitted. */
        val UNLIMITED = AdmissionPlan(0, 0, emptyMap())
    }
}
