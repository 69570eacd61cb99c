package linemast.leadership

/** Who leads, as this controller has last seen it in the store or in the statuses of its peers. */
class LeaderView {
    /** Name of the controller that leads; null if none is. */
    var leaderName: String? = null

    /** Highest fencing token seen anywhere. */
    var highestFencingToken = 0L

    /** The lease of this controller while it leads or is in degraded mode; null otherwise. */
    var ownLease: LeaderLease? = null

    /** Takes in a fencing token seen elsewhere; a lease of this controller with a lower one ends at once. */
    fun observeFencingToken(fencingToken: Long) {
        if (fencingToken > highestFencingToken) highestFencingToken = fencingToken
        ownLease?.let { if (fencingToken > it.fencingToken) it.end() }
    }
}
