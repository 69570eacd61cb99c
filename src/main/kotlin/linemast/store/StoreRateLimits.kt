package linemast.store

import linemast.settings.StoreLimits

/**
 * Computes this controller's share of the store's rate limits.
 *
 * The store's next limits, [StoreLimits.next], are known, but take effect at an unannounced time. A call that is refused for its
 * rate while all controllers are within their shares shows that the next limits are in effect. From then on this controller stays
 * within them. This class lowers the limit of writes and the limit of requests separately, each after a refusal.
 */
class StoreRateLimits(private val limits: StoreLimits, private val controllerCount: Int) {
    /** Whether this controller is the leader, whose share of the writes is larger. */
    var isLeader = false
    private var clusterRequestsPerSecond = limits.rps
    private var clusterWritesPerSecond = limits.writeRps

    /** Number of requests of any kind that this controller may send per second. */
    val requestsPerSecond: Double get() = clusterRequestsPerSecond * USED_SHARE / controllerCount

    /** Number of keys that this controller may change per second. */
    val writesPerSecond: Double
        get() = clusterWritesPerSecond * USED_SHARE * (if (isLeader) LEADER_WEIGHT else 1.0) / (controllerCount - 1 + LEADER_WEIGHT)

    /** Applies the next limit of writes or of requests after a call was refused for its rate; returns whether that changes a rate. */
    fun tightenAfterRefusal(isCommit: Boolean): Boolean {
        val next = limits.next ?: return false
        // A commit counts as a request and as writes; the limit of writes is far more likely to have been lowered.
        if (isCommit && next.writeRps < clusterWritesPerSecond) {
            clusterWritesPerSecond = next.writeRps
            return true
        }
        if (next.rps < clusterRequestsPerSecond) {
            clusterRequestsPerSecond = next.rps
            return true
        }
        return false
    }

    private companion object {
        /** Share of the limits that all controllers together use. */
        const val USED_SHARE = 0.9

        /** The leader's share of the writes, as a multiple of the share of another controller. */
        const val LEADER_WEIGHT = 2.0
    }
}
