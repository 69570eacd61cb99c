package linemast.settings

/**
 * The optional parts of the service that are enabled; null for those that are not.
 *
 * @property duties single-holder duties; see docs/duties.md.
 * @property admission fair admission; see docs/admission.md.
 * @property recovery reconciliation after an outage; see docs/recovery.md.
 */
class Features(val duties: DutySettings? = null, val admission: AdmissionSettings? = null, val recovery: RecoverySettings? = null)
