package linemast.duties

import linemast.serialization.Fields

/** The current leadership as the store holds it. */
class LeadershipSnapshot(
    /** Name of the leader; null if there is none now. */
    val leaderName: String?,
    /** Fencing token of the leader; null if there is none now. */
    val leaderToken: Long?,
    /** The highest fencing token that was ever issued. */
    val highestToken: Long,
)

/** Reads the stored leadership; the election writes it. */
internal object LeadershipSnapshotCodec {
    /** [leader] is the leader's record and [tokenCounter] the counter of fencing tokens, each null if it is not there. */
    fun decode(leader: Fields?, tokenCounter: Fields?) = LeadershipSnapshot(
        leaderName = leader?.text("node"),
        leaderToken = leader?.long("helm"),
        highestToken = tokenCounter?.long("n") ?: 0L,
    )
}
