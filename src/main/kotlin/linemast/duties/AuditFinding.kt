package linemast.duties

/** A violation of [rule], or a condition that an operator should look at, in the stored [intentId]; [message] describes it. */
data class AuditFinding(val rule: AuditRule, val intentId: IntentId, val message: String) {
    /** Severity of the rule. */
    val severity: Severity get() = rule.severity

    /** Severity of a finding; the highest comes first. */
    enum class Severity {
        /** A rule is violated: a controller acted without being the leader, or records were tampered with. */
        VIOLATION,

        /** A permitted condition that is not supposed to last. */
        WARNING,
    }
}

/** The rules that the audit checks for stored intents; a finding has the [severity] of its rule. */
enum class AuditRule(val severity: AuditFinding.Severity) {
    /** Every fencing token of an intent has been issued. */
    TOKEN_ISSUED(AuditFinding.Severity.VIOLATION),

    /** Every fencing token with which an intent was closed has been issued. */
    CLOSING_TOKEN_ISSUED(AuditFinding.Severity.VIOLATION),

    /** No intent is closed by an earlier leader than the one that decided it. */
    CLOSED_IN_ORDER(AuditFinding.Severity.VIOLATION),

    /** A closed intent contains the fencing token of the term that closed it. */
    CLOSED_BY_LEADER(AuditFinding.Severity.VIOLATION),

    /** The id of a scale-out request contains the fencing token of the leader that decided the request. */
    OWN_REQUEST_ID(AuditFinding.Severity.VIOLATION),

    /** No two slots hold the same intent. */
    UNIQUE_INTENT(AuditFinding.Severity.VIOLATION),

    /** No two intents have the same scale-out request id. */
    UNIQUE_REQUEST(AuditFinding.Severity.VIOLATION),

    /** The current leader closes the open intents of previous leaders in time. */
    CLOSED_IN_TIME(AuditFinding.Severity.WARNING),

    /** A machine is in at most one open scale-in. */
    SINGLE_SCALE_IN(AuditFinding.Severity.WARNING),
}
