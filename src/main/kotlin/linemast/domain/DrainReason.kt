package linemast.domain

/** Why no starts are sent to a machine; [text] is for log lines only. */
enum class DrainReason(val text: String) {
    /** Its scale-in is decided and neither confirmed nor refused. */
    SCALING_IN("scaling in"),

    /** Its latest heartbeat has a preemption notice. */
    PREEMPTION_NOTICE("preemption notice"),

    /** Tasks of several jobs have failed on it; see [MachineHealth]. */
    QUARANTINED("quarantined"),
    ;

    override fun toString() = text
}
