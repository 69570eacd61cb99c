package linemast.cloud

/** Why a machine is given back to the cloud; [text] is what the log says. */
enum class ScaleInReason(val text: String) {
    FAILED("has stopped by itself"),
    NEVER_STARTED("does not come up"),
    QUARANTINED("fails what it starts"),
    PREEMPTED("preempted"),
    PREEMPTED_WITHOUT_NOTICE("taken without notice"),
    MISSING_HEARTBEAT("silent"),
    UNREACHABLE("does not hear"),
    MISSING_AFTER_FAILOVER("absent at the take-over"),
    IDLE("idle"),
    BASELINE_IDLE("owned, long idle"),
    ;

    override fun toString() = text
}
