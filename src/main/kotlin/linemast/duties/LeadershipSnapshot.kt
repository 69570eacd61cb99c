package linemast.duties

import linemast.serialization.Fields

/** The current leader and the highest fencing token, as read from the store. */
class LeadershipSnapshot(
    /** Name of the leader; null if no controller leads. */
    val leaderName: String?,
    /** Fencing token of the leader; null if no controller leads. */
    val leaderToken: Long?,
    /** Highest fencing token issued so far. */
    val highestToken: Long,
)

/** Decodes the records that the election writes. */
internal object LeadershipSnapshotCodec {
    /** Decodes the leader's record [leader] and the counter of fencing tokens [tokenCounter], each null if it is absent. */
    fun decode(leader: Fields?, tokenCounter: Fields?) = LeadershipSnapshot(
        leaderName = leader?.text("node"),
        leaderToken = leader?.long("helm"),
        highestToken = tokenCounter?.long("n") ?: 0L,
    )
}
