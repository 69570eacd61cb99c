package linemast.scheduling

/**
 * The attempt numbers of one leader, which no other leader uses: they begin with its fencing token.
 *
 * A pass of placement numbers everything it chooses, and the next one chooses most of that anew. So numbers that never
 * left this process are given out again; at thousands of machines they would be used up within hours otherwise.
 */
internal class AttemptNumbers(fencingToken: Long, private val most: Long = PER_TOKEN) {
    private val base = fencingToken * PER_TOKEN
    private var latest = 0L
    private var latestUsed = 0L

    /** Whether the numbers are nearly used up: a leader with the next fencing token has to go on. */
    val isNearlyExhausted: Boolean get() = latestUsed >= most - most / RESERVED_PART

    /** A number that no command has carried. */
    fun next(): Long = base + ++latest

    /** [attempt] leaves in a command, or is kept for one: it is never given out again. */
    fun use(attempt: Long) {
        latestUsed = maxOf(latestUsed, attempt - base)
    }

    /** All choices that have not left were dropped: their numbers are free again. */
    fun forgetUnused() {
        latest = latestUsed
    }

    companion object {
        const val PER_TOKEN = 1L shl 24

        /** One part in this many, a million, is more than a pass can choose before the leader has given up. */
        private const val RESERVED_PART = 16
    }
}
