package linemast.settings

import linemast.duties.DutySettings

/** The optional parts of the service that are enabled; null for those that are not. */
class Features(
    /** See docs/single-holder-duties.md. */
    val duties: DutySettings? = null,
)
