package linemast.cloud

import linemast.domain.MachineShape

/** Exponential back-off per machine shape after the cloud had no capacity for it. Not thread-safe; one leader's. */
internal class CapacityBackOff {
    private class BackOff(val untilMicros: Long, val refusals: Int)

    private val backOffs = HashMap<MachineShape, BackOff>()

    /** Whether [shape] may be requested now. */
    fun isAvailable(shape: MachineShape, nowMicros: Long): Boolean {
        val backOff = backOffs[shape] ?: return true
        return backOff.untilMicros <= nowMicros
    }

    /** Notes that a request for [shape] was refused, or granted only in part. */
    fun recordRefusal(shape: MachineShape, nowMicros: Long) {
        val previous = backOffs[shape]
        // Several requests for one shape may be in flight: their refusals count as a single observation.
        if (previous != null && nowMicros < previous.untilMicros) return
        val refusals = (previous?.refusals ?: 0) + 1
        val delayMicros = INITIAL_BACK_OFF_MICROS shl minOf(refusals - 1, MAX_DOUBLINGS)
        backOffs[shape] = BackOff(nowMicros + delayMicros, refusals)
    }

    /** Notes that a request for [shape] was granted in full. */
    fun recordGrant(shape: MachineShape) {
        backOffs.remove(shape)
    }

    private companion object {
        const val INITIAL_BACK_OFF_MICROS = 8_000_000L
        const val MAX_DOUBLINGS = 3
    }
}
