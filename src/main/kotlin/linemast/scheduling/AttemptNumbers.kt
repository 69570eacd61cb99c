package linemast.scheduling

/**
 * Allocates the attempt numbers of one leader. The fencing token is their high-order part, so that no other leader uses them.
 *
 * A scheduling cycle numbers all its assignments, and the next cycle replaces most of them. Numbers that were never sent to a
 * worker are therefore reused; otherwise a fleet of thousands of machines would exhaust them within hours.
 */
internal class AttemptNumbers(fencingToken: Long, private val max: Long = PER_TOKEN) {
    private val base = fencingToken * PER_TOKEN
    private var latest = 0L
    private var latestUsed = 0L

    /** The highest number of this leader. */
    val highest: Long get() = base + max

    /** Whether the numbers are nearly exhausted, so that this leader has to step down in favor of one with a higher fencing token. */
    val isNearlyExhausted: Boolean get() = latestUsed >= max - max / RESERVED_DIVISOR

    /** Returns a number that no command has carried. */
    fun next(): Long = base + ++latest

    /** Marks [attempt] as sent in a command or reserved for one; it is never reused. */
    fun markUsed(attempt: Long) {
        latestUsed = maxOf(latestUsed, attempt - base)
    }

    /** Makes all numbers above the latest used one available again, after the assignments whose start was not sent were removed. */
    fun releaseUnused() {
        latest = latestUsed
    }

    companion object {
        /** How many attempt numbers each fencing token has. */
        const val PER_TOKEN = 1L shl 24

        /**
         * One in this many numbers is held in reserve. That is a million, more than a scheduling cycle can assign before the leader has
         * stepped down.
         */
        private const val RESERVED_DIVISOR = 16
    }
}
