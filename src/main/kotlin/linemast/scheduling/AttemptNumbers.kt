package linemast.scheduling

/**
 * The attempt numbers of one leader, which no other leader uses: they begin with its fencing token.
 *
 * A scheduling cycle numbers all its assignments, and the next cycle makes most of them anew. So numbers that never left
 * this process are given out again; otherwise thousands of machines would exhaust them within hours.
 */
internal class AttemptNumbers(fencingToken: Long, private val max: Long = PER_TOKEN) {
    private val base = fencingToken * PER_TOKEN
    private var latest = 0L
    private var latestUsed = 0L

    /** Whether the numbers are nearly exhausted: a leader with the next fencing token has to go on. */
    val isNearlyExhausted: Boolean get() = latestUsed >= max - max / RESERVED_DIVISOR

    /** A number that no command has carried. */
    fun next(): Long = base + ++latest

    /** [attempt] leaves in a command, or is kept for one: it is never given out again. */
    fun markUsed(attempt: Long) {
        latestUsed = maxOf(latestUsed, attempt - base)
    }

    /** All assignments whose start has not left were dropped: their numbers are free again. */
    fun releaseUnused() {
        latest = latestUsed
    }

    companion object {
        const val PER_TOKEN = 1L shl 24

        /** One part in this many, a million, is more than a cycle can assign before the leader has stepped down. */
        private const val RESERVED_DIVISOR = 16
    }
}
