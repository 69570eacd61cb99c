package linemast.app

import linemast.peers.CancellationAcknowledgement
import linemast.peers.CancellationNotice
import linemast.peers.PeerMessage
import linemast.peers.PeerView

/**
 * Asks the leader to acknowledge cancellations, and acknowledges those of other controllers while this one leads.
 *
 * @property sendToPeer sends a message to the controller with the given name; the message may be lost.
 * @property onAcknowledged is called with the id of a job when no controller starts a task of it any more.
 */
internal class CancellationExchange(
    private val nodeName: String,
    private val leaderLifecycle: LeaderLifecycle,
    private val peerView: PeerView,
    private val sendToPeer: (nodeName: String, message: PeerMessage) -> Unit,
    private val onAcknowledged: (jobId: String) -> Unit,
) {
    /** Asks every controller that may lead, this one included, to acknowledge the cancellation of the job with [jobId]. */
    fun requestAcknowledgement(jobId: String) {
        leaderLifecycle.leader?.applyCancellation(jobId) { onAcknowledged(jobId) }
        val notice = CancellationNotice(nodeName, jobId)
        for (peer in peerView.nodesThatAcknowledgeCancellations) sendToPeer(peer, notice)
    }

    /** Applies a cancellation that another controller has read from the store or committed. */
    fun receive(notice: CancellationNotice) {
        val acknowledgement = CancellationAcknowledgement(nodeName, notice.jobId)
        leaderLifecycle.leader?.applyCancellation(notice.jobId) { sendToPeer(notice.nodeName, acknowledgement) }
    }

    /** Records that the leader has acknowledged a cancellation. */
    fun receive(acknowledgement: CancellationAcknowledgement) = onAcknowledged(acknowledgement.jobId)
}
