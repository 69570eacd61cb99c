package linemast.scheduling

import linemast.time.Clock

/**
 * Spaces scheduling cycles, so that they take a bounded share of the time however large the fleet is: heartbeats are
 * handled in the pause that follows a long cycle.
 */
internal class CycleTimer(private val clock: Clock) {
    private var nextCycleMicros = 0L

    /** Whether the pause after the last cycle is over. */
    fun isDue(nowMicros: Long): Boolean = nowMicros >= nextCycleMicros

    /** Runs [cycle] and begins the pause that follows it. */
    fun run(nowMicros: Long, cycle: () -> Unit) {
        val startMicros = clock.nowMicros()
        cycle()
        val durationMicros = clock.nowMicros() - startMicros
        nextCycleMicros = nowMicros + maxOf(MIN_PAUSE_MICROS, durationMicros * PAUSE_PER_DURATION)
    }

    private companion object {
        const val MIN_PAUSE_MICROS = 100_000L

        /** A cycle is followed by a pause of this many times its own duration. */
        const val PAUSE_PER_DURATION = 8
    }
}
