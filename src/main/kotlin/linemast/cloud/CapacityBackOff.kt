package linemast.cloud

import linemast.domain.MachineShape

/** Keeps an exponential back-off for each machine shape that the cloud had no capacity for. Not thread-safe; used by one leader. */
internal class CapacityBackOff {
    private class BackOff(val untilMicros: Long, val refusals: Int)

    private val backOffs = HashMap<MachineShape, BackOff>()

    /** Whether [shape] may be requested now. */
    fun isAvailable(shape: MachineShape, nowMicros: Long): Boolean {
        val backOff = backOffs[shape] ?: return true
        return backOff.untilMicros <= nowMicros
    }

    /** Records that a request for [shape] was refused, or granted only in part. */
    fun recordRefusal(shape: MachineShape, nowMicros: Long) {
        val previous = backOffs[shape]
        // Several requests for one shape may be in flight: their refusals count as a single refusal.
        if (previous != null && nowMicros < previous.untilMicros) return
        val refusals = (previous?.refusals ?: 0) + 1
        val delayMicros = INITIAL_BACK_OFF_MICROS shl minOf(refusals - 1, MAX_DOUBLINGS)
        backOffs[shape] = BackOff(nowMicros + delayMicros, refusals)
    }

    /** Records that a request for [shape] was granted in full, which ends its back-off. */
    fun recordGrant(shape: MachineShape) {
        backOffs.remove(shape)
    }

    private companion object {
        const val INITIAL_BACK_OFF_MICROS = 8_000_000L
        const val MAX_DOUBLINGS = 3
    }
}
