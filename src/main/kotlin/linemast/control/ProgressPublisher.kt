package linemast.control

import kotlinx.coroutines.launch
import linemast.jobs.ProgressSnapshot
import linemast.jobs.ProgressSnapshotCodec
import linemast.peers.PeerView
import linemast.store.Write
import linemast.store.storeResultOrNull
import linemast.time.SECOND_MICROS
import org.slf4j.LoggerFactory

/**
 * Stores the progress of jobs once a second while another controller is silent: most likely the leader's statuses do not reach it
 * either, while its users go on asking. As long as all controllers are heard, nothing is stored.
 */
internal class ProgressPublisher(
    private val term: LeaderTerm,
    private val jobStatistics: JobStatistics,
    private val peers: PeerView,
    private val peerNames: List<String>,
) {
    private val log = LoggerFactory.getLogger(ProgressPublisher::class.java)
    private var isWriting = false
    private var lastWriteMicros = -WRITE_INTERVAL_MICROS

    /** Writes a [ProgressSnapshot] if one is due; a failed write is not retried before the next one is due. */
    fun publishIfDue(nowMicros: Long) {
        if (isWriting || nowMicros < lastWriteMicros + WRITE_INTERVAL_MICROS || peers.hasCurrentStatusOf(peerNames)) return
        isWriting = true
        lastWriteMicros = nowMicros
        val snapshot = ProgressSnapshot(term.wallMicros(), jobStatistics.progress())
        term.scope.launch {
            val value = ProgressSnapshotCodec.encode(snapshot, term.limits.maxValueBytes)
            storeResultOrNull(log) { term.commit(emptyList(), listOf(Write.Put(ProgressSnapshotCodec.KEY, value))) }
            isWriting = false
        }
    }

    private companion object {
        const val WRITE_INTERVAL_MICROS = SECOND_MICROS
    }
}
