package linemast.admission

/** The decision of a controller on a new submission. */
sealed interface AdmissionDecision {
    /** The submission may be accepted. */
    data object Admitted : AdmissionDecision

    /**
     * The submission is not accepted now. A retry after [retryAfterSeconds] is admitted unless the flow's demand grows meanwhile, or
     * the wait was longer than the maximum that [AdmissionPlan.decide] returns.
     */
    data class Deferred(val retryAfterSeconds: Int) : AdmissionDecision
}
