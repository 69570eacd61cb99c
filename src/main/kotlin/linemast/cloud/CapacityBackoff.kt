package linemast.cloud

import linemast.domain.MachineShape

/** Exponential back-off per machine shape after the cloud had no capacity for it. Not thread-safe; one leader's. */
internal class CapacityBackoff {
    private class Backoff(val untilMicros: Long, val refusals: Int)

    private val backoffs = HashMap<MachineShape, Backoff>()

    /** Whether [shape] may be requested now. */
    fun isAvailable(shape: MachineShape, nowMicros: Long): Boolean {
        val backoff = backoffs[shape] ?: return true
        return backoff.untilMicros <= nowMicros
    }

    /** Notes that a request for [shape] was refused, or granted only in part. */
    fun refused(shape: MachineShape, nowMicros: Long) {
        val previous = backoffs[shape]
        // Several requests for one shape may be in flight: their refusals count as a single observation.
        if (previous != null && nowMicros < previous.untilMicros) return
        val refusals = (previous?.refusals ?: 0) + 1
        val delayMicros = INITIAL_MICROS shl minOf(refusals - 1, MAX_DOUBLINGS)
        backoffs[shape] = Backoff(nowMicros + delayMicros, refusals)
    }

    /** Notes that a request for [shape] was granted in full. */
    fun granted(shape: MachineShape) {
        backoffs.remove(shape)
    }

    private companion object {
        const val INITIAL_MICROS = 8_000_000L
        const val MAX_DOUBLINGS = 3
    }
}
