package linemast.time

/** A monotonic clock in whole microseconds; never the time of day. */
fun interface Clock {
    /** The time now, counted from an arbitrary origin. */
    fun nowMicros(): Long
}

/** The monotonic clock of this process. */
object SteadyClock : Clock {
    override fun nowMicros(): Long = System.nanoTime() / 1_000
}

/** A second in microseconds. */
const val SECOND_MICROS = 1_000_000L

/** A millisecond in microseconds. */
const val MICROS_PER_MILLI = 1_000L
