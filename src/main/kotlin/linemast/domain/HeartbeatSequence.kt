package linemast.domain

/** How a heartbeat relates to those of the same machine that were accepted before it. */
enum class HeartbeatOrder {
    /** The heartbeat is newer than all accepted ones and comes from the same worker process. */
    NEWER,

    /** The worker that sent the heartbeat has restarted, and counts incarnations and heartbeats from the beginning again. */
    RESTARTED,

    /** The heartbeat is a delayed duplicate, or a newer one arrived before it: its worker no longer waits for a response. */
    STALE,
}

/**
 * Orders the heartbeats of one machine, and detects whether responses reach its worker.
 *
 * Incarnations and sequence numbers order the heartbeats of one worker process. A worker begins a new incarnation when its
 * lease has expired, and numbers the heartbeats within each incarnation. A restarted worker counts from the
 * beginning, so a delayed duplicate from before the restart has a higher incarnation or sequence number than the
 * heartbeats after it; [classify] tells them apart. All times are of the leader's clock.
 */
class HeartbeatSequence {
    /** Incarnation of the newest heartbeat; 0 before the first one. */
    var incarnation = 0L
        private set

    /** Sequence number of the newest heartbeat within its incarnation; 0 before the first one. */
    var sequenceNumber = 0L
        private set

    /** Highest fencing token that the worker has shown since it started. */
    var fencingToken = 0L
        private set

    /** When the newest heartbeat arrived; [NEVER] if none has arrived at this leader. */
    var lastMicros = NEVER
        internal set

    /** Whether the response to the second-newest heartbeat has reached the worker. */
    var acknowledgesResponses = false
        private set

    /** Since when heartbeats arrive although responses apparently do not reach the worker; [NEVER] while responses reach it. */
    var unacknowledgedSinceMicros = NEVER
        private set

    /** Incarnation, sequence number and arrival time of the latest heartbeat that was not newer than the accepted ones. */
    private var olderIncarnation = 0L
    private var olderSequenceNumber = 0L
    private var olderMicros = NEVER

    /**
     * The current incarnation cannot end before this time. A response that has reached the worker renewed its lease as of when the
     * worker sent the heartbeat, and this time is less than a lease after that.
     */
    private var incarnationValidUntilMicros = NEVER

    /** When the second-newest heartbeat of this incarnation arrived; the worker sent the newest one after that. */
    private var previousMicros = NEVER

    /** Highest incarnation that a worker process on this machine had reached before a restart. */
    private var replacedIncarnation = 0L

    /**
     * Whether the restarted worker uses incarnations that its predecessor had reached, so that delayed duplicates of the
     * predecessor's heartbeats cannot be told from its own.
     */
    val reusesIncarnations: Boolean get() = incarnation <= replacedIncarnation

    /**
     * Returns how [heartbeat] relates to the accepted ones. [leaseEndMicros] is the end of the worker's lease by the leader's
     * records. A worker that has received a response sends its next heartbeat within [acknowledgedIntervalMicros].
     */
    fun classify(heartbeat: Heartbeat, nowMicros: Long, leaseEndMicros: Long, acknowledgedIntervalMicros: Long): HeartbeatOrder = when {
        isNewer(heartbeat, nowMicros) -> HeartbeatOrder.NEWER
        hasRestarted(heartbeat, nowMicros, leaseEndMicros, acknowledgedIntervalMicros) -> HeartbeatOrder.RESTARTED
        else -> HeartbeatOrder.STALE
    }

    private fun isNewer(heartbeat: Heartbeat, nowMicros: Long): Boolean {
        if (heartbeat.incarnation < incarnation) return false
        if (heartbeat.incarnation == incarnation && heartbeat.sequenceNumber <= sequenceNumber) return false
        return lastMicros == NEVER || isPlausible(heartbeat, nowMicros)
    }

    /**
     * Whether [heartbeat], whose incarnation or sequence number is higher than those before it, can be from the same worker
     * process. A delayed duplicate from before a restart is recognized by one of these signs: its fencing token is lower than
     * one that the worker has shown, which a worker process never loses; its sequence number is higher than a worker can have
     * reached in the time since; its incarnation was reached before the restart, or cannot have begun yet.
     */
    private fun isPlausible(heartbeat: Heartbeat, nowMicros: Long): Boolean {
        if (heartbeat.fencingToken < fencingToken) return false
        if (heartbeat.incarnation != incarnation) {
            return heartbeat.incarnation > replacedIncarnation && nowMicros >= incarnationValidUntilMicros
        }
        val maxSent = (nowMicros - lastMicros) / MIN_HEARTBEAT_INTERVAL_MICROS + MAX_DELAYED_HEARTBEATS
        return heartbeat.sequenceNumber - sequenceNumber <= maxSent
    }

    /**
     * Whether [heartbeat], which is not newer than the accepted ones, is from a restarted worker.
     *
     * A single such heartbeat may be a delayed duplicate. Two successive ones after the lease of the earlier worker process
     * has expired are not: that process would have sent heartbeats with higher numbers in the meantime.
     */
    private fun hasRestarted(heartbeat: Heartbeat, nowMicros: Long, leaseEndMicros: Long, acknowledgedIntervalMicros: Long): Boolean {
        val followsOlder = heartbeat.incarnation == olderIncarnation &&
            heartbeat.sequenceNumber > olderSequenceNumber &&
            nowMicros - olderMicros <= acknowledgedIntervalMicros
        olderIncarnation = heartbeat.incarnation
        olderSequenceNumber = heartbeat.sequenceNumber
        olderMicros = nowMicros
        if (!followsOlder || nowMicros < leaseEndMicros) return false
        replacedIncarnation = maxOf(replacedIncarnation, incarnation)
        incarnationValidUntilMicros = NEVER
        previousMicros = NEVER
        fencingToken = 0
        return true
    }

    /** Records [heartbeat], which is not stale, as the newest one; [minLeaseMicros] is the minimum duration of a renewed lease. */
    fun record(heartbeat: Heartbeat, nowMicros: Long, acknowledgedIntervalMicros: Long, minLeaseMicros: Long) {
        recordAcknowledgement(heartbeat, nowMicros, acknowledgedIntervalMicros, minLeaseMicros)
        incarnation = heartbeat.incarnation
        sequenceNumber = heartbeat.sequenceNumber
        fencingToken = maxOf(fencingToken, heartbeat.fencingToken)
        lastMicros = nowMicros
    }

    /**
     * Records whether the latest response reached the worker: without a response a worker waits for its timeout before the
     * next heartbeat, so a worker that sends the next heartbeat sooner has received the response.
     */
    private fun recordAcknowledgement(heartbeat: Heartbeat, nowMicros: Long, acknowledgedIntervalMicros: Long, minLeaseMicros: Long) {
        val isSameIncarnation = heartbeat.incarnation == incarnation
        acknowledgesResponses = lastMicros > NEVER && isSameIncarnation && nowMicros - lastMicros <= acknowledgedIntervalMicros
        if (acknowledgesResponses || lastMicros == NEVER) {
            unacknowledgedSinceMicros = NEVER
        } else if (unacknowledgedSinceMicros == NEVER) {
            unacknowledgedSinceMicros = nowMicros
        }
        if (acknowledgesResponses && previousMicros > NEVER) incarnationValidUntilMicros = previousMicros + minLeaseMicros
        previousMicros = if (isSameIncarnation) lastMicros else NEVER
    }

    companion object {
        /** Time of an event that has not happened. No event has this time, because clocks count from before the process started. */
        const val NEVER = 0L

        /** Shortest interval between two heartbeats of a worker. */
        private const val MIN_HEARTBEAT_INTERVAL_MICROS = 500_000L

        /** Maximum number of heartbeats that a network partition may delay and then deliver together. */
        private const val MAX_DELAYED_HEARTBEATS = 4L
    }
}
