package linemast.time

/** The steady clock in whole microseconds; never the time of day. */
fun interface Clock {
    /** The time now, counted from an arbitrary origin. */
    fun nowMicros(): Long
}

/** The steady clock of this process. */
object SteadyClock : Clock {
    override fun nowMicros(): Long = System.nanoTime() / 1_000
}

const val SECOND_MICROS = 1_000_000L
