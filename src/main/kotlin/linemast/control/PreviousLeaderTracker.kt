package linemast.control

import linemast.scheduling.Cluster
import linemast.time.Clock

/**
 * Finds out when no previous leader can be active any more, and then informs the cluster state.
 *
 * A controller that has seen this term's fencing token accepts no lower one and ends its own lower term. So the terms of
 * all previous leaders have ended once every other controller has seen this term's token.
 */
internal class PreviousLeaderTracker(
    private val cluster: Cluster,
    private val eventQueue: LeaderEventQueue,
    private val clock: Clock,
    private val fencingToken: Long,
    private val peerNames: List<String>,
) {
    private var isStateLoaded = false
    private val informedPeers = HashSet<String>()

    /** Records that the controller [node] has seen [fencingToken]; a lower token than this term's is ignored. */
    fun recordPeerToken(node: String, fencingToken: Long) {
        if (fencingToken < this.fencingToken || !informedPeers.add(node)) return
        endPreviousLeadersIfAllPeersInformed()
    }

    /** Records that the cluster state has been loaded from the store; only then can it apply the end of previous leaders. */
    fun recordStateLoaded() {
        isStateLoaded = true
        endPreviousLeadersIfAllPeersInformed()
    }

    private fun endPreviousLeadersIfAllPeersInformed() {
        if (!isStateLoaded || !informedPeers.containsAll(peerNames)) return
        eventQueue.tryEnqueue { cluster.recordPreviousLeadersEnded(clock.nowMicros()) }
    }
}
