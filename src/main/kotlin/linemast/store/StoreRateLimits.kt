package linemast.store

import linemast.settings.StoreLimits

/**
 * This controller's share of the store's rate limits.
 *
 * The store's next limits take effect at a moment that is not announced. A refusal while all controllers keep within their
 * shares shows that it has come; from then on the next limits are kept, those of writes and of requests each by itself.
 */
class StoreRateLimits(private val limits: StoreLimits, private val controllers: Int) {
    /** Whether this controller leads, and so has a larger share of the writes. */
    var isLeader = false
    private var clusterRequestsPerSecond = limits.rps
    private var clusterWritesPerSecond = limits.writeRps

    /** Requests of any kind that this controller may send in a second. */
    val requestsPerSecond: Double get() = clusterRequestsPerSecond * USED_SHARE / controllers

    /** Keys that this controller may change in a second. */
    val writesPerSecond: Double
        get() = clusterWritesPerSecond * USED_SHARE * (if (isLeader) LEADER_WEIGHT else 1.0) / (controllers - 1 + LEADER_WEIGHT)

    /** Takes in that a call was refused for its rate; returns whether that changes the rates. */
    fun tightenAfterRefusal(isCommit: Boolean): Boolean {
        val next = limits.next ?: return false
        // A commit counts as a request and as writes; the limit of writes is by far the likelier one to have dropped.
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
        /** Share of the limits that the controllers together use. */
        const val USED_SHARE = 0.9

        /** A leader's share of the writes, counted in shares of another controller. */
        const val LEADER_WEIGHT = 2.0
    }
}
