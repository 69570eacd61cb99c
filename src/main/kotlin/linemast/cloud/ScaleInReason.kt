package linemast.cloud

/** Why a machine is given back to the cloud; [text] is what the log says. */
enum class ScaleInReason(val text: String) {
    FAILED("has stopped by itself"),
    NEVER_UP("does not come up"),
    FAULTY("fails what it starts"),
    PREEMPTED("preempted"),
    TAKEN("taken without notice"),
    SILENT("silent"),
    DEAF("does not hear"),
    ABSENT("absent at the take-over"),
    IDLE("idle"),
    BASELINE_IDLE("owned, long idle"),
    ;

    override fun toString() = text
}
