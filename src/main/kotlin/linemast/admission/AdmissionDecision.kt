package linemast.admission

/** What a controller does with a new submission. */
sealed interface AdmissionDecision {
    /** It is accepted. */
    data object Admitted : AdmissionDecision

    /** It is not accepted now; repeated after [retryAfterSeconds] it will be, unless the flow grows meanwhile. */
    data class Deferred(val retryAfterSeconds: Int) : AdmissionDecision
}
