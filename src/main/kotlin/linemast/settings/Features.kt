package linemast.settings

/**
 * The settings of the optional features. A feature whose settings are null is disabled.
 *
 * @property duties single-holder duties, which are cloud actions that only the current leader may begin; see docs/duties.md.
 * @property admission fair admission; see docs/admission.md.
 * @property recovery reconciliation after an outage; see docs/recovery.md.
 */
class Features(val duties: DutySettings? = null, val admission: AdmissionSettings? = null, val recovery: RecoverySettings? = null)
