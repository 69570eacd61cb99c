package linemast.time

/** A monotonic clock in whole microseconds; it never returns wall time. */
fun interface Clock {
    /** Returns the current time, counted from an arbitrary origin. */
    fun nowMicros(): Long
}

/** The monotonic clock of this process. */
object SteadyClock : Clock {
    override fun nowMicros(): Long = System.nanoTime() / 1_000
}

/** One second in microseconds. */
const val SECOND_MICROS = 1_000_000L

/** One millisecond in microseconds. */
const val MICROS_PER_MILLI = 1_000L
