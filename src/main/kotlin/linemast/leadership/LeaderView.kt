package linemast.leadership

/**
 * The leader and the highest fencing token, as this controller last read them in the store, in the statuses of its peers or,
 * for the token, in the heartbeats of workers.
 */
class LeaderView {
    /** Name of the controller that leads; null if none does. */
    var leaderName: String? = null

    /** Highest fencing token read from any source. */
    var highestFencingToken = 0L

    /** This controller's own lease while it leads or is in degraded mode; null otherwise. */
    var ownLease: LeaderLease? = null

    /** Records [fencingToken] if it is the highest so far, and ends this controller's lease at once if its token is lower. */
    fun observeFencingToken(fencingToken: Long) {
        if (fencingToken > highestFencingToken) highestFencingToken = fencingToken
        ownLease?.let { if (fencingToken > it.fencingToken) it.end() }
    }
}
