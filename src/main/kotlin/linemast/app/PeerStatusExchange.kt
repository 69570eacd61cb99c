package linemast.app

import linemast.leadership.LeaderView
import linemast.peers.PeerStatus
import linemast.peers.PeerView
import linemast.store.StoreHealthProbe
import linemast.time.Clock

/** Builds the status that this controller sends to its peers, and takes in theirs. */
internal class PeerStatusExchange(
    private val nodeName: String,
    private val clock: Clock,
    private val leaderView: LeaderView,
    private val peerView: PeerView,
    private val healthProbe: StoreHealthProbe,
    private val leaderLifecycle: LeaderLifecycle,
) {
    private var lastHeartbeatMicros = NEVER_MICROS

    /** Takes note of a worker's heartbeat to this controller. */
    fun recordHeartbeat() {
        lastHeartbeatMicros = clock.nowMicros()
    }

    /** What this controller tells its peers now. */
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
        )
    }

    /** Takes in a status that has arrived from another controller. */
    fun receive(status: PeerStatus) {
        leaderView.observeFencingToken(status.fencingToken)
        val isFromLeader = status.isLeader && status.fencingToken >= leaderView.highestFencingToken
        if (isFromLeader && leaderView.ownLease == null) leaderView.leaderName = status.node
        peerView.received(status)
        leaderLifecycle.leader?.recordPeerToken(status.node, status.fencingToken)
    }

    private companion object {
        /** Before any time of the clock, and far enough from the limits that differences do not overflow. */
        const val NEVER_MICROS = Long.MIN_VALUE / 2

        /** A heartbeat is recent for this long. */
        const val HEARTBEAT_RECENT_MICROS = 2_000_000L
    }
}
