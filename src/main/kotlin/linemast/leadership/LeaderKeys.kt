package linemast.leadership

/** Keys in the store that hold the leader and the latest fencing token. */
object LeaderKeys {
    /** Holds a [LeaderRecord]; attached to the leader's lease. Every write of the leader has the key's revision as a precondition. */
    const val LEADER = "leader"

    /**
     * Holds the fencing token of the latest term; attached to no lease, so that it outlives all of them. The transaction that
     * starts a term raises it.
     */
    const val FENCING_TOKEN = "helm"
}
