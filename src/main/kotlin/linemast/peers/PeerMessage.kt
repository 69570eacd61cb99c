package linemast.peers

/** A message that a controller sends to another one over a peer link. */
sealed interface PeerMessage {
    /** Name of the controller that sends the message. */
    val nodeName: String
}

/**
 * Tells a controller that the store holds the cancellation of a job, so that it starts no task of the job even if it cannot read
 * the store. A leader that may issue commands responds with a [CancellationAcknowledgement].
 *
 * The notice is true whenever it arrives, since a cancellation is final.
 *
 * @property jobId id of the cancelled job.
 */
data class CancellationNotice(override val nodeName: String, val jobId: String) : PeerMessage

/**
 * Tells the sender of a [CancellationNotice] that no controller starts a task of the job any more: the sender of the acknowledgement
 * could issue commands when it applied the cancellation.
 *
 * @property jobId id of the cancelled job.
 */
data class CancellationAcknowledgement(override val nodeName: String, val jobId: String) : PeerMessage
