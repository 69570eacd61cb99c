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

/** A term for which this controller is elected; [storeLeaseId] identifies the lease that it has to renew in the store. */
internal class ElectedTerm(val storeLeaseId: Long, val leaderLease: LeaderLease)

/**
 * Watches the leader record while another controller leads, and tries to become the leader when none does. Failed calls throw
 * the exceptions of the store.
 */
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
     * Makes one attempt: waits for a change if another controller leads, and tries to start a term otherwise.
     *
     * Returns null if this controller was not elected; the caller then calls this function again.
     */
    suspend fun runOnce(): ElectedTerm? {
        val current = store.get(LeaderKeys.LEADER)
        // A record with this controller's own name was left by an earlier process, which has ended, or by a commit of
        // this process that got no response. This process does not lead now, so it does not wait for the lease to expire.
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

    /** Starts a term with a fencing token higher than any before; returns null if another controller was faster. */
    private suspend fun tryToWin(leaderRevision: Long): ElectedTerm? {
        // The lease counts from before the request for it, so that it expires here no later than in the store.
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
