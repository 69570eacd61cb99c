package linemast.control

import linemast.scheduling.Cluster
import linemast.time.Clock

/**
 * Tells the cluster state when no previous leader can be active any more.
 *
 * A controller that has seen this term's fencing token accepts no lower one; once all other controllers have seen it, every
 * previous leader has ended.
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

    /** The controller [node] has seen [fencingToken], which may be an earlier one. */
    fun recordPeerToken(node: String, fencingToken: Long) {
        if (fencingToken < this.fencingToken || !informedPeers.add(node)) return
        endPreviousLeadersIfAllPeersInformed()
    }

    /** The cluster state has been read from the store, so that it can take the news. */
    fun onStateLoaded() {
        isStateLoaded = true
        endPreviousLeadersIfAllPeersInformed()
    }

    private fun endPreviousLeadersIfAllPeersInformed() {
        if (!isStateLoaded || !informedPeers.containsAll(peerNames)) return
        eventQueue.tryEnqueue { cluster.endPreviousLeaders(clock.nowMicros()) }
    }
}
