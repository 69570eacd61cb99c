package linemast.domain

/** The current attempt of a gang, whose number all its tasks share. */
class GangAttempt {
    /** Number of the current attempt; [NONE] before the first one. */
    var number = NONE
        private set

    /** Whether a start of the current attempt was sent. */
    var isStartSent = false

    /**
     * Whether a heartbeat has shown a task of the current attempt running. If the attempt then loses a task, a replacement of
     * that task cannot complete the attempt.
     */
    var hasRun = false

    private val acknowledged = HashSet<AcknowledgedAttempt>()

    /** Whether the next start needs a new attempt number. */
    val isUsed: Boolean get() = number == NONE || isStartSent

    /** Begins attempt [number], for which no start has been sent yet. */
    fun begin(number: Long) {
        this.number = number
        isStartSent = false
    }

    /** Records that a heartbeat has shown attempt [number], which becomes the current one unless a newer one is known. */
    fun adopt(number: Long) {
        this.number = maxOf(this.number, number)
        isStartSent = true
    }

    /** Records that the end of a task of [attempt] was acknowledged to [machine]. */
    fun recordAcknowledgement(machine: Machine, attempt: Long) {
        acknowledged += AcknowledgedAttempt(machine.name, attempt)
    }

    /**
     * Whether the end of a task of the current attempt was acknowledged to [machine]. The worker has discarded that task, so
     * a repeated start would run it a second time.
     */
    fun isAcknowledgedOn(machine: Machine): Boolean = acknowledged.isNotEmpty() && AcknowledgedAttempt(machine.name, number) in acknowledged

    private data class AcknowledgedAttempt(val machine: String, val attempt: Long)

    companion object {
        /** Attempt number of a gang that was never started. All other attempt numbers begin with a fencing token and are larger. */
        const val NONE = 0L
    }
}
