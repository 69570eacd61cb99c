package linemast.leadership

/** Who leads, as far as this controller knows; it is fed by the store and by the statuses of the peers. */
class LeaderView {
    /** Name of the controller that leads; null if none is known to. */
    var leaderName: String? = null

    /** Highest fencing token seen anywhere. */
    var highestFencingToken = 0L

    /** The lease of this controller while it leads or is in degraded mode; null otherwise. */
    var own: LeaderLease? = null

    /** Takes in a fencing token seen elsewhere; a lease of this controller with a lower one ends at once. */
    fun observeFencingToken(fencingToken: Long) {
        if (fencingToken > highestFencingToken) highestFencingToken = fencingToken
        own?.let { if (fencingToken > it.fencingToken) it.end() }
    }
}
