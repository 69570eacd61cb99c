package linemast.cloud

/** Why a machine is removed from the fleet; [text] is for log lines only. */
enum class ScaleInReason(val text: String) {
    /** The cloud lists it as failed. */
    FAILED("failed"),

    /** Its worker has not reported for several times the usual startup. */
    NEVER_STARTED("did not start"),

    /** It is quarantined: tasks of several jobs have failed on it. */
    QUARANTINED("quarantined"),

    /** The time of its preemption notice is over. */
    PREEMPTED("preempted"),

    /** A spot machine whose heartbeats stopped without a preemption notice. */
    PREEMPTED_WITHOUT_NOTICE("preempted without notice"),

    /** Its heartbeats have been missing for long. */
    MISSING_HEARTBEAT("missing heartbeat"),

    /** Its heartbeats arrive, but no answer has reached it for long. */
    UNREACHABLE("unreachable"),

    /** It has not reported to a new leader, although its zone has. */
    MISSING_AFTER_FAILOVER("missing after failover"),

    /** No task has needed it for long. */
    IDLE("idle"),

    /** A baseline machine that no task has needed for much longer. */
    BASELINE_IDLE("baseline machine, long idle"),
    ;

    override fun toString() = text
}
