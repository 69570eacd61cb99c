package linemast.peers

import linemast.domain.JobProgress
import linemast.time.Clock
import linemast.time.SECOND_MICROS

/** Keeps the latest status of each peer and uses it as long as it is fresh. */
class PeerView(private val clock: Clock) {
    private class ReceivedStatus(val status: PeerStatus, val receivedMicros: Long)

    private val latestByNode = HashMap<String, ReceivedStatus>()
    private var latestOfLeader: ReceivedStatus? = null

    /**
     * Whether another controller reads the key-value store with success, according to its latest status. An earlier status is not
     * used: one from before an outage of the store would make all controllers report themselves unhealthy when the outage begins.
     */
    val anyPeerReachesStore: Boolean get() = freshStatuses().any { it.reachesStore }

    /** Whether another controller receives heartbeats of workers. */
    val anyPeerReceivesHeartbeats: Boolean get() = freshStatuses().any { it.receivesHeartbeats }

    /** Whether this controller has received a status of any other controller recently. */
    val hasReachablePeer: Boolean get() = freshStatuses().isNotEmpty()

    /** Whether the leader's statuses arrive, so that [progressOf] is up to date. */
    val hasCurrentProgress: Boolean get() = latestOfLeader?.let(::isCurrent) ?: false

    /** Whether this controller is receiving statuses of all of [nodeNames]. */
    fun hasCurrentStatusOf(nodeNames: Collection<String>): Boolean = nodeNames.all { name -> latestByNode[name]?.let(::isCurrent) ?: false }

    private fun isCurrent(received: ReceivedStatus) = clock.nowMicros() - received.receivedMicros < STATUS_CURRENT_MICROS

    /** Names of the other controllers to which a [CancellationNotice] may be sent, according to their latest statuses. */
    val nodesThatAcknowledgeCancellations: List<String>
        get() = latestByNode.values.filter { it.status.acknowledgesCancellations }.map { it.status.nodeName }

    private fun freshStatuses(): List<PeerStatus> {
        val nowMicros = clock.nowMicros()
        return latestByNode.values.filter { nowMicros - it.receivedMicros < STATUS_FRESH_MICROS }.map { it.status }
    }

    /** Records a [status] that has just arrived from another controller. */
    fun recordStatus(status: PeerStatus) {
        val received = ReceivedStatus(status, clock.nowMicros())
        latestByNode[status.nodeName] = received
        if (!status.isLeader) return
        val previous = latestOfLeader
        if (previous != null && status.fencingToken < previous.status.fencingToken) return
        latestOfLeader = received
    }

    /** Returns the task counts of job [jobId] from the leader's latest status; null if it is not fresh or has no counts of the job. */
    fun progressOf(jobId: String): JobProgress? {
        val latest = latestOfLeader ?: return null
        val isFresh = clock.nowMicros() - latest.receivedMicros < PROGRESS_FRESH_MICROS
        return if (isFresh) latest.status.progress[jobId] else null
    }

    private companion object {
        /** Statuses are sent once a second. */
        const val STATUS_CURRENT_MICROS = 2 * SECOND_MICROS
        const val PROGRESS_FRESH_MICROS = 5 * SECOND_MICROS
        const val STATUS_FRESH_MICROS = 3 * SECOND_MICROS
    }
}
