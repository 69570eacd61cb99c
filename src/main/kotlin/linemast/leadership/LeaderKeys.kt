package linemast.leadership

/** The keys of the leadership in the store. */
object LeaderKeys {
    /** Holds a [LeaderRecord]; attached to the leader's lease. Every write of the leader depends on its revision. */
    const val LEADER = "leader"

    /** The fencing token of the latest term, which outlives all leases; raised by the transaction that starts a term. */
    const val FENCING_TOKEN = "helm"
}
