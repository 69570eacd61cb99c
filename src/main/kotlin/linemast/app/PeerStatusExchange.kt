package linemast.app

import linemast.leadership.LeaderView
import linemast.peers.PeerStatus
import linemast.peers.PeerView
import linemast.store.StoreHealthProbe
import linemast.time.Clock

/** Builds the status that this controller sends to its peers, and processes the statuses received from them. */
internal class PeerStatusExchange(
    private val nodeName: String,
    private val clock: Clock,
    private val leaderView: LeaderView,
    private val peerView: PeerView,
    private val healthProbe: StoreHealthProbe,
    private val leaderLifecycle: LeaderLifecycle,
) {
    private var lastHeartbeatMicros = NEVER_MICROS

    /** Records that a heartbeat of a worker has reached this controller. */
    fun recordHeartbeat() {
        lastHeartbeatMicros = clock.nowMicros()
    }

    /** Returns the status that this controller sends to its peers at this time. */
    fun buildStatus(): PeerStatus {
        val leader = leaderLifecycle.leader
        val receivesHeartbeats = clock.nowMicros() - lastHeartbeatMicros < HEARTBEAT_RECENT_MICROS
        return PeerStatus(
            nodeName,
            leaderView.highestFencingToken,
            leader != null,
            healthProbe.isHealthy,
            receivesHeartbeats,
            leader?.progress() ?: emptyMap(),
            acknowledgesCancellations = true,
        )
    }

    /** Processes a status received from another controller. */
    fun receive(status: PeerStatus) {
        leaderView.observeFencingToken(status.fencingToken)
        val isFromLeader = status.isLeader && status.fencingToken >= leaderView.highestFencingToken
        if (isFromLeader && leaderView.ownLease == null) leaderView.leaderName = status.nodeName
        peerView.recordStatus(status)
        leaderLifecycle.leader?.recordPeerToken(status.nodeName, status.fencingToken)
    }

    private companion object {
        /** Earlier than any time of the clock, and far enough from the limits of Long that differences do not overflow. */
        const val NEVER_MICROS = Long.MIN_VALUE / 2

        /** A heartbeat counts as recent for this long. */
        const val HEARTBEAT_RECENT_MICROS = 2_000_000L
    }
}
