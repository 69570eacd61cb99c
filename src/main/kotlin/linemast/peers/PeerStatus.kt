package linemast.peers

import linemast.domain.JobProgress

/**
 * What a controller tells every other one once a second.
 *
 * Nothing in it decides anything on its own: a fencing token only ever ends a term that is over already, and the progress
 * of jobs is for display.
 *
 * @property node name of the sender.
 * @property fencingToken highest fencing token that the sender knows of.
 * @property isLeader whether the sender leads, with [fencingToken].
 * @property reachesStore whether the key-value store answers the sender.
 * @property receivesHeartbeats whether workers have sent the sender a heartbeat lately.
 * @property progress counts of tasks by job id, from the leader only; the codec sends the first thousand.
 */
class PeerStatus(
    val node: String,
    val fencingToken: Long,
    val isLeader: Boolean,
    val reachesStore: Boolean,
    val receivesHeartbeats: Boolean,
    val progress: Map<String, JobProgress>,
)
