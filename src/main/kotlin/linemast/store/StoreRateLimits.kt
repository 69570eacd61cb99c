package linemast.store

import linemast.settings.StateLimits

/**
 * This controller's part of what the state service takes in a second.
 *
 * The service's next limits hold from some moment on that is not announced: a refusal although all keep within their
 * parts says that it has come. From then on the next rates are kept, those of changes and of all calls each by itself.
 */
class StoreRateLimits(private val limits: StateLimits, private val controllers: Int) {
    /** The leader writes more than the others. */
    var isLeader = false
    private var rps = limits.rps
    private var writeRps = limits.writeRps

    val requestsPerSecond: Double get() = rps * USED_SHARE / controllers

    val writesPerSecond: Double get() = writeRps * USED_SHARE * (if (isLeader) LEADER_PARTS else 1.0) / (controllers - 1 + LEADER_PARTS)

    /** A call was refused for its rate; whether that changes the rates. */
    fun tightenAfterRefusal(isCommit: Boolean): Boolean {
        val next = limits.next ?: return false
        // A commit counts for both; that changes are limited more is by far the likelier.
        if (isCommit && next.writeRps < writeRps) {
            writeRps = next.writeRps
            return true
        }
        if (next.rps < rps) {
            rps = next.rps
            return true
        }
        return false
    }

    private companion object {
        const val USED_SHARE = 0.9
        const val LEADER_PARTS = 2.0
    }
}
