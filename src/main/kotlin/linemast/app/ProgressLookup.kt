package linemast.app

import linemast.domain.JobProgress
import linemast.jobs.ProgressSnapshotReader
import linemast.jobs.ProgressSource
import linemast.peers.PeerView

/**
 * Looks up the progress of jobs: the leader has it itself, other controllers take it from the leader's statuses, or from the store
 * while these statuses do not arrive.
 */
internal class ProgressLookup(
    private val leaderLifecycle: LeaderLifecycle,
    private val peerView: PeerView,
    private val snapshots: ProgressSnapshotReader,
) : ProgressSource {
    override suspend fun progressOf(id: String): JobProgress? {
        val leader = leaderLifecycle.leader
        if (leader != null) return leader.progressOf(id) ?: peerView.progressOf(id)
        if (peerView.hasCurrentProgress) return peerView.progressOf(id)
        val stored = snapshots.recentProgress()
        return if (stored == null) peerView.progressOf(id) else stored[id]
    }
}
