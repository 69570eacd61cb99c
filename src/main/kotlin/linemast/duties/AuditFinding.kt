package linemast.duties

/** The stored [intentId] breaks [rule], or an operator should look at it; [message] says so in the report. */
data class AuditFinding(val rule: AuditRule, val intentId: IntentId, val message: String) {
    /** How serious the finding is. */
    val severity: Severity get() = rule.severity

    /** Severity of a finding, the highest first. */
    enum class Severity {
        /** A rule is broken: a controller acted without being the leader, or records were tampered with. */
        VIOLATION,

        /** Permitted, but not supposed to last. */
        WARNING,
    }
}

/** What the audit checks of the stored intents; a finding has the [severity] of its rule. */
enum class AuditRule(val severity: AuditFinding.Severity) {
    /** Every fencing token of an intent has been issued. */
    TOKEN_ISSUED(AuditFinding.Severity.VIOLATION),

    /** Every fencing token under which an intent was closed has been issued. */
    CLOSING_TOKEN_ISSUED(AuditFinding.Severity.VIOLATION),

    /** No intent is closed by a leader before the one that decided it. */
    CLOSED_IN_ORDER(AuditFinding.Severity.VIOLATION),

    /** A closed intent names the term that closed it. */
    CLOSED_BY_LEADER(AuditFinding.Severity.VIOLATION),

    /** The id of a scale-out request contains the token of the leader that decided it. */
    OWN_REQUEST_ID(AuditFinding.Severity.VIOLATION),

    /** No two slots hold the same intent. */
    UNIQUE_INTENT(AuditFinding.Severity.VIOLATION),

    /** No two intents have the same scale-out request. */
    UNIQUE_REQUEST(AuditFinding.Severity.VIOLATION),

    /** The current leader closes the intents of previous leaders in time. */
    CLOSED_IN_TIME(AuditFinding.Severity.WARNING),

    /** A machine is in no more than one open scale-in. */
    SINGLE_SCALE_IN(AuditFinding.Severity.WARNING),
}
