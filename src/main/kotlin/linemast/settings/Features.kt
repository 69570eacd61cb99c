package linemast.settings

import linemast.admission.AdmissionSettings
import linemast.duties.DutySettings
import linemast.recovery.RecoverySettings

/** The optional parts of the service that are enabled; null for those that are not. */
class Features(
    /** See docs/single-holder-duties.md. */
    val duties: DutySettings? = null,
    /** See docs/fair-admission.md. */
    val admission: AdmissionSettings? = null,
    /** See docs/restart-after-outage.md. */
    val recovery: RecoverySettings? = null,
)
