package linemast.domain

/** How a heartbeat relates to those of the same machine that were accepted before it. */
enum class HeartbeatOrder {
    /** It follows all accepted ones and comes from the same worker. */
    NEWER,

    /** Its worker has restarted and counts from the beginning again. */
    RESTARTED,

    /** A delayed copy, or one that a newer heartbeat has overtaken: its worker waits for no response. */
    STALE,
}

/**
 * Order of one machine's heartbeats, and whether responses reach its worker.
 *
 * Incarnations and sequence numbers order heartbeats as long as the worker process lives. A restarted worker counts from
 * the beginning, so a delayed copy from before the restart counts further than its heartbeats; [classify] tells them apart.
 * All times are readings of the leader's clock.
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

    /** When the newest heartbeat came; [NEVER] if none came to this leader. */
    var lastMicros = NEVER
        internal set

    /** Whether the response to the heartbeat before the last one reached the worker. */
    var acknowledgesResponses = false
        private set

    /** Since when heartbeats come although no response seems to reach the worker; [NEVER] while responses do. */
    var unacknowledgedSinceMicros = NEVER
        private set

    /** The latest heartbeat that was older than one before it. */
    private var olderIncarnation = 0L
    private var olderSequenceNumber = 0L
    private var olderMicros = NEVER

    /** Until then the incarnation cannot end: a response reached the worker for a heartbeat sent less than a lease before. */
    private var incarnationValidUntilMicros = NEVER

    /** When the heartbeat before the last one of this incarnation came; the last one was sent after it. */
    private var previousMicros = NEVER

    /** Highest incarnation of a worker that has restarted since. */
    private var replacedIncarnation = 0L

    /**
     * Whether the worker counts incarnations that a replaced one had reached, so that delayed copies of the replaced
     * worker's heartbeats look like its own.
     */
    val reusesIncarnations: Boolean get() = incarnation <= replacedIncarnation

    /**
     * Tells how [heartbeat] relates to the accepted ones. [leaseEndMicros] is the end of the lease that the leader's
     * records give the worker; a worker that has got its response sends the next heartbeat within [acknowledgedIntervalMicros].
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
     * Whether [heartbeat], which counts further than those before it, can be of the same worker. A copy from before a
     * restart shows in one of these: a fencing token below one shown before, which a worker never forgets; more heartbeats
     * than a worker sends in the time; an incarnation that the replaced worker had reached, or one that cannot have begun.
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
     * Whether [heartbeat], which does not count further than those before it, comes from a restarted worker.
     *
     * A single one may be a delayed copy. Two that follow each other, after the lease of the earlier worker has expired,
     * are not: that worker would have sent heartbeats, which would count further.
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

    /** Records [heartbeat], which is not stale, as the newest one; [minLeaseMicros] is what a renewed lease lasts at least. */
    fun record(heartbeat: Heartbeat, nowMicros: Long, acknowledgedIntervalMicros: Long, minLeaseMicros: Long) {
        recordAcknowledgement(heartbeat, nowMicros, acknowledgedIntervalMicros, minLeaseMicros)
        incarnation = heartbeat.incarnation
        sequenceNumber = heartbeat.sequenceNumber
        fencingToken = maxOf(fencingToken, heartbeat.fencingToken)
        lastMicros = nowMicros
    }

    /** A worker that got no response waits for its timeout; one that sends its next heartbeat sooner got the response. */
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
        /** Reading of the leader's clock for what has not happened; clocks count from before the process started. */
        const val NEVER = 0L

        /** A worker never sends heartbeats more often. */
        private const val MIN_HEARTBEAT_INTERVAL_MICROS = 500_000L

        /** Heartbeats that a network partition may hold back and deliver together. */
        private const val MAX_DELAYED_HEARTBEATS = 4L
    }
}
