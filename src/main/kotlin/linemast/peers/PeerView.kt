package linemast.peers

import linemast.domain.JobProgress
import linemast.time.Clock
import linemast.time.SECOND_MICROS

/** The latest frame of the leader, for as long as it is fresh. */
class PeerView(private val clock: Clock) {
    private var frame: PeerFrame? = null
    private var heardMicros = 0L

    private class Heard(val frame: PeerFrame, val atMicros: Long)

    private val latest = HashMap<String, Heard>()

    /**
     * Whether the state service answers another controller, by the latest that each said: what one said before
     * an outage must not make all take themselves out when it begins.
     */
    val storeWorksElsewhere: Boolean get() = fresh().any { it.storeWorks }

    /** Whether workers turn to another controller. */
    val workersAskElsewhere: Boolean get() = fresh().any { it.workersAsk }

    /** Whether any other controller was heard lately. */
    val hasReachablePeer: Boolean get() = fresh().isNotEmpty()

    private fun fresh(): List<PeerFrame> =
        clock.nowMicros().let { now -> latest.values.filter { now - it.atMicros < LATEST_MICROS }.map { it.frame } }

    /** Takes a frame of another controller. */
    fun heard(next: PeerFrame) {
        latest[next.node] = Heard(next, clock.nowMicros())
        val last = frame
        if (!next.isLeader || (last != null && next.fencingToken < last.fencingToken)) return
        frame = next
        heardMicros = clock.nowMicros()
    }

    /** Counts of a job's tasks by the leader's last frame; null if that is old or does not hold the job. */
    fun progressOf(id: String): JobProgress? = if (clock.nowMicros() - heardMicros < FRESH_MICROS) frame?.progress?.get(id) else null

    private companion object {
        const val FRESH_MICROS = 5 * SECOND_MICROS
        const val LATEST_MICROS = 3 * SECOND_MICROS
    }
}
