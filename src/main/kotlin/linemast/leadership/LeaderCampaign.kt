package linemast.leadership

import linemast.store.CommitResult
import linemast.store.KeyValueStore
import linemast.store.Precondition
import linemast.store.RequestPriority
import linemast.store.RetryPolicy
import linemast.store.WatchResult
import linemast.store.Write
import linemast.time.Clock
import linemast.time.SECOND_MICROS

/** A term that this controller has won; [storeLeaseId] is the id of the lease that has to be renewed in the store. */
internal class ElectedTerm(val storeLeaseId: Long, val leaderLease: LeaderLease)

/** Follows the leadership of other controllers, and takes it when it is free. Calls fail with the exceptions of the store. */
internal class LeaderCampaign(
    private val store: KeyValueStore,
    private val clock: Clock,
    private val nodeName: String,
    private val leaderLeaseMicros: Long,
    private val degradedModeMicros: Long,
    private val view: LeaderView,
    private val retry: RetryPolicy,
) {
    /**
     * One attempt: waits for a change if another controller leads, and tries to take the leadership otherwise.
     *
     * Null if the leadership was not won; the campaign is then to be run again.
     */
    suspend fun runOnce(): ElectedTerm? {
        val current = store.get(LeaderKeys.LEADER)
        // A record of this very controller is left by an earlier process, which has ended, or by an election
        // whose answer never came; this process does not lead now, so it need not wait for the lease to expire.
        if (current == null || LeaderRecordCodec.decodeNodeName(current.value) == nodeName) {
            return tryToWin(current?.revision ?: Precondition.ABSENT)
        }
        observe(LeaderRecordCodec.decode(current.value))
        awaitLeaderChange(current.revision)
        return null
    }

    private fun observe(leader: LeaderRecord) {
        view.leaderName = leader.nodeName
        view.observeFencingToken(leader.fencingToken)
    }

    private suspend fun awaitLeaderChange(revision: Long) {
        when (val result = store.watch(LeaderKeys.LEADER, revision, WATCH_TIMEOUT_MICROS)) {
            is WatchResult.TooOld -> retry.pause()
            is WatchResult.Changes -> {
                val latest = result.changes.lastOrNull { it.key == LeaderKeys.LEADER }
                if (latest != null && latest.value == null) view.leaderName = null
            }
        }
    }

    /** Starts a term with a fencing token higher than any before; null if another controller was faster. */
    private suspend fun tryToWin(leaderRevision: Long): ElectedTerm? {
        // The lease counts from before its request, so that this controller never takes it for longer than the store does.
        val sentMicros = clock.nowMicros()
        val lease = store.grantLease(leaderLeaseMicros)
        val latestToken = store.get(LeaderKeys.FENCING_TOKEN)
        val latestStored = latestToken?.let { LeaderRecordCodec.decodeFencingToken(it.value) } ?: 0L
        val fencingToken = maxOf(latestStored, view.highestFencingToken) + 1
        val result = store.commit(
            preconditions = listOf(
                Precondition(LeaderKeys.LEADER, leaderRevision),
                Precondition(LeaderKeys.FENCING_TOKEN, latestToken?.revision ?: Precondition.ABSENT),
            ),
            writes = listOf(
                Write.Put(LeaderKeys.LEADER, LeaderRecordCodec.encode(LeaderRecord(nodeName, fencingToken)), lease),
                Write.Put(LeaderKeys.FENCING_TOKEN, LeaderRecordCodec.encodeFencingToken(fencingToken)),
            ),
            priority = RequestPriority.CRITICAL,
        )
        if (result !is CommitResult.Applied) return null
        return ElectedTerm(lease, LeaderLease(fencingToken, result.revision, leaderLeaseMicros, degradedModeMicros, sentMicros))
    }

    private companion object {
        const val WATCH_TIMEOUT_MICROS = 8 * SECOND_MICROS
    }
}
