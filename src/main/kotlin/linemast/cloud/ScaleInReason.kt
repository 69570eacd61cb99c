package linemast.cloud

/** Why a machine is scaled in; [text] is for log lines only. */
enum class ScaleInReason(val text: String) {
    /** The cloud lists the machine as failed. */
    FAILED("failed"),

    /** The worker has sent no heartbeat although several times the usual startup time of the machine has passed. */
    NEVER_STARTED("did not start"),

    /** The machine is faulty: tasks have failed on it also in the trials after its quarantines. */
    QUARANTINED("quarantined"),

    /** The time that the preemption notice gave the machine is over. */
    PREEMPTED("preempted"),

    /** The heartbeats of a spot machine stopped without a preemption notice. */
    PREEMPTED_WITHOUT_NOTICE("preempted without notice"),

    /** The heartbeats of the machine have been missing for long. */
    MISSING_HEARTBEAT("missing heartbeat"),

    /** Heartbeats of the machine arrive, but no response has reached its worker for long. */
    UNREACHABLE("unreachable"),

    /** The machine has not reported to a new leader although its zone has, or the cloud does not list it or lists it as failed. */
    MISSING_AFTER_FAILOVER("missing after failover"),

    /** No task has needed the machine for long. */
    IDLE("idle"),

    /** No task has needed a baseline machine for long; such a machine is kept idle for much longer than others. */
    BASELINE_IDLE("baseline machine, long idle"),
    ;

    override fun toString() = text
}
