package linemast.domain

/** The attempt that all tasks of a gang share. */
class GangAttempt {
    /** Number of the present attempt; [NONE] before the first one. */
    var number = NONE
        private set

    /** Whether a start of the present attempt has left. */
    var isStartSent = false

    /** Whether the present attempt was seen running: a replacement cannot complete it any more. */
    var hasRun = false

    private val acknowledged = HashSet<AcknowledgedAttempt>()

    /** Whether the next start needs a new attempt number. */
    val isUsed: Boolean get() = number == NONE || isStartSent

    /** Begins an attempt that no start has carried. */
    fun begin(number: Long) {
        this.number = number
        isStartSent = false
    }

    /** Takes over an attempt that a heartbeat has shown, unless a newer one is known. */
    fun adopt(number: Long) {
        this.number = maxOf(this.number, number)
        isStartSent = true
    }

    /** The machine was told to forget a task of [attempt]. */
    fun recordAcknowledgement(machine: Machine, attempt: Long) {
        acknowledged += AcknowledgedAttempt(machine.name, attempt)
    }

    /** Whether the machine was told to forget a task of the present attempt: starting it there again would run it once more. */
    fun isAcknowledgedOn(machine: Machine): Boolean = acknowledged.isNotEmpty() && AcknowledgedAttempt(machine.name, number) in acknowledged

    private data class AcknowledgedAttempt(val machine: String, val attempt: Long)

    companion object {
        /** Attempt number of a gang that was never started; real ones begin with a fencing token and are larger. */
        const val NONE = 0L
    }
}
