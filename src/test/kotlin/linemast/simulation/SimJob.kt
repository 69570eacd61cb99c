package linemast.simulation

/** A job as the users of the simulation know it, with what was acknowledged to them. */
class SimJob(
    val id: String,
    val team: String,
    val taskCount: Int,
    val vcpus: Double,
    val gang: Boolean,
    val sameZone: Boolean,
    val spread: Boolean,
    val spot: Boolean,
    val runMicros: Long,
    /** By how much longer each task runs than the one before it. */
    val staggerMicros: Long = 0,
    val dependencies: List<String> = emptyList(),
    val jobClass: String = if (gang) "gangs" else "sweeps",
    /** For how long its user goes on submitting it. */
    val submitTimeoutMicros: Long = Long.MAX_VALUE,
) {
    fun runMicrosOf(index: Int) = runMicros + index * staggerMicros

    var accepted = false
    var submittedMicros = 0L
    var acceptedMicros = 0L

    /** When its first task was started. */
    var startedMicros = 0L
    var deferralCount = 0
    var acknowledgedStatus: String? = null
    var acknowledgedMicros = Long.MAX_VALUE
    var cancelledMicros: Long? = null
    var cancelRequested = false

    fun submissionBody(): Map<String, Any?> = mapOf(
        "name_id" to id, "lane" to jobClass, "crew" to team, "shape" to if (gang) "gang" else "sweep",
        "urgency" to if (gang) "normal" else "idle", "pieces" to taskCount, "vcpus" to vcpus, "gpus" to 0.0, "memory_gb" to 1.0,
        "bundle" to "img", "pull_gb" to 1.0, "same_place" to sameZone, "apart" to spread, "loaners" to spot,
        "guess_s" to runMicros / 1e6, "mark_every_s" to 0.0, "mark_s" to 0.0, "due_s" to 60.0, "awaits" to dependencies.ifEmpty { null },
    )
}
