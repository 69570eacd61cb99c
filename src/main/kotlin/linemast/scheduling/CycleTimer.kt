package linemast.scheduling

import linemast.time.Clock

/**
 * Limits scheduling cycles to a bounded share of the time, however large the fleet is. Each cycle is followed by a pause in
 * proportion to its duration, in which heartbeats are handled.
 */
internal class CycleTimer(private val clock: Clock) {
    private var nextCycleMicros = 0L

    /** Whether the pause after the last cycle is over. */
    fun isDue(nowMicros: Long): Boolean = nowMicros >= nextCycleMicros

    /** Runs [cycle] and starts the pause that follows it. */
    fun run(nowMicros: Long, cycle: () -> Unit) {
        val startMicros = clock.nowMicros()
        cycle()
        val durationMicros = clock.nowMicros() - startMicros
        nextCycleMicros = nowMicros + maxOf(MIN_PAUSE_MICROS, durationMicros * PAUSE_PER_DURATION)
    }

    private companion object {
        const val MIN_PAUSE_MICROS = 100_000L

        /** Length of the pause after a cycle, as a multiple of the duration of the cycle. */
        const val PAUSE_PER_DURATION = 8
    }
}
