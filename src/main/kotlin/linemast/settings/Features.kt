package linemast.settings

/** The optional parts of the service that are enabled; null for those that are not. */
class Features(
    /** See docs/duties.md. */
    val duties: DutySettings? = null,
    /** See docs/admission.md. */
    val admission: AdmissionSettings? = null,
    /** See docs/recovery.md. */
    val recovery: RecoverySettings? = null,
)
