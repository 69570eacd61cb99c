package linemast.peers

import linemast.jobs.Progress
import linemast.wire.Clock
import linemast.wire.SECOND_MICROS

/** The latest frame of the leader, for as long as it is fresh. */
class PeerView(private val clock: Clock) {
    private var frame: PeerFrame? = null
    private var heardMicros = 0L

    private var storeWorkedMicros = Long.MIN_VALUE / 2

    /** Whether another controller said lately that the state service answers it. */
    val storeWorksElsewhere: Boolean get() = clock.nowMicros() - storeWorkedMicros < FRESH_MICROS

    fun heard(next: PeerFrame) {
        if (next.storeWorks) storeWorkedMicros = clock.nowMicros()
        val last = frame
        if (!next.leads || (last != null && next.helm < last.helm)) return
        frame = next
        heardMicros = clock.nowMicros()
    }

    fun progressOf(id: String): Progress? =
        if (clock.nowMicros() - heardMicros < FRESH_MICROS) frame?.progress?.get(id) else null

    private companion object {
        const val FRESH_MICROS = 5 * SECOND_MICROS
    }
}
