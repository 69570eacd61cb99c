package linemast.peers

import linemast.domain.JobProgress

/**
 * The status that a controller sends to every other controller once a second.
 *
 * No decision depends on a status alone: a fencing token only ends a leader term that a newer term has already ended, and the
 * progress of jobs is only displayed.
 *
 * @property nodeName name of the sender.
 * @property fencingToken highest fencing token that the sender has observed.
 * @property isLeader whether the sender is the leader with [fencingToken].
 * @property reachesStore whether the sender's latest read of the key-value store succeeded.
 * @property receivesHeartbeats whether the sender has received a heartbeat of a worker recently.
 * @property progress task counts by job id; only the leader sends them, and the codec encodes the first thousand.
 * @property acknowledgesCancellations whether the sender understands a [CancellationNotice]; controllers of earlier versions do not.
 */
class PeerStatus(
    override val nodeName: String,
    val fencingToken: Long,
    val isLeader: Boolean,
    val reachesStore: Boolean,
    val receivesHeartbeats: Boolean,
    val progress: Map<String, JobProgress>,
    val acknowledgesCancellations: Boolean = false,
) : PeerMessage
