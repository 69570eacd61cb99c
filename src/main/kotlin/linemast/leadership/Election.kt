package linemast.leadership

import kotlinx.coroutines.delay
import linemast.store.CommitResult
import linemast.store.Entry
import linemast.store.KeyValueStore
import linemast.store.Precondition
import linemast.store.RequestPriority
import linemast.store.RetryPolicy
import linemast.store.StoreException
import linemast.store.WatchResult
import linemast.store.Write
import linemast.time.Clock
import linemast.time.SECOND_MICROS
import org.slf4j.LoggerFactory

/** Who leads, as far as this controller knows. */
class LeaderView {
    /** Name of the leader last seen in the store. */
    var leaderName: String? = null

    /** Highest fencing token heard of anywhere. */
    var highestFencingToken = 0L

    /** Set while this controller leads or is in its grace. */
    var own: LeaderLease? = null

    /** Takes news of a fencing token; an own one that is lower ends at once. */
    fun observeFencingToken(fencingToken: Long) {
        if (fencingToken > highestFencingToken) highestFencingToken = fencingToken
        own?.let { if (fencingToken > it.fencingToken) it.end() }
    }
}

/**
 * Contends for the leadership and keeps it: one long-lived duty per controller.
 *
 * [lead] runs as long as this controller may count as leader; it is cancelled when the leadership is lost.
 */
class Election(
    private val store: KeyValueStore,
    private val clock: Clock,
    private val nodeName: String,
    private val leaderLeaseMicros: Long,
    private val degradedModeMicros: Long,
    private val view: LeaderView,
    private val onElected: (LeaderLease) -> Unit,
    private val onLost: () -> Unit,
) {
    private val log = LoggerFactory.getLogger(Election::class.java)
    private val retry = RetryPolicy(delayMillis = 300)

    /** Contends and leads, again and again, until it is cancelled. */
    suspend fun run(): Nothing = retry.repeatForever(log, "election") {
        val leaderLease = contend()
        if (leaderLease != null) {
            keep(leaderLease)
            if (leaderLease.hasSteppedDown) stepAside()
        }
    }

    /** Waits until the leadership is free, then tries to take it. Null when another was faster. */
    private suspend fun contend(): LeaderLease? {
        val current = store.get(LeaderKeys.LEADER)
        val own = current != null && current.value.textOrNull("node") == nodeName
        // A record of this very controller is left by an earlier process, which has ended, or by an election
        // whose answer never came; this process does not lead now, so it need not wait for the lease to run out.
        if (current != null && !own) {
            seen(current)
            awaitChange(current.revision)
            return null
        }
        val sent = clock.nowMicros()
        val lease = store.grantLease(leaderLeaseMicros)
        val last = store.get(LeaderKeys.FENCING_TOKEN)
        val fencingToken = maxOf(last?.value?.long("n") ?: 0L, view.highestFencingToken) + 1
        val record = mapOf("node" to nodeName, "helm" to fencingToken)
        val result = store.commit(
            listOf(
                Precondition(LeaderKeys.LEADER, current?.revision ?: 0L),
                Precondition(LeaderKeys.FENCING_TOKEN, last?.revision ?: 0L),
            ),
            listOf(Write.Put(LeaderKeys.LEADER, record, lease), Write.Put(LeaderKeys.FENCING_TOKEN, mapOf("n" to fencingToken))),
            RequestPriority.CRITICAL,
        )
        if (result !is CommitResult.Applied) return null
        this.lease = lease
        return LeaderLease(fencingToken, result.revision, leaderLeaseMicros, degradedModeMicros, sent)
    }

    private var lease = 0L

    private fun seen(leader: Entry) {
        view.leaderName = leader.value.textOrNull("node")
        view.observeFencingToken(leader.value.longOrNull("helm") ?: 0L)
    }

    private suspend fun awaitChange(revision: Long) {
        when (val result = store.watch(LeaderKeys.LEADER, revision, WATCH_MICROS)) {
            is WatchResult.TooOld -> retry.pause()
            is WatchResult.Changes -> result.changes.lastOrNull { it.key == LeaderKeys.LEADER }?.let { change ->
                if (change.value == null) view.leaderName = null
            }
        }
    }

    /** Ends the lease, and lets the others contend first. */
    private suspend fun stepAside() {
        try {
            store.revokeLease(lease)
        } catch (e: StoreException) {
            log.debug("ending the lease: {}", e.message)
        }
        delay(ASIDE_MILLIS)
    }

    private suspend fun keep(leaderLease: LeaderLease) {
        log.info("leading with fencing token {}", leaderLease.fencingToken)
        view.own = leaderLease
        view.leaderName = nodeName
        view.observeFencingToken(leaderLease.fencingToken)
        onElected(leaderLease)
        try {
            while (leaderLease.mayAnswerHeartbeats(clock.nowMicros())) {
                delay(leaderLeaseMicros / RENEWALS_PER_LEASE / 1_000)
                val sent = clock.nowMicros()
                try {
                    if (!store.renewLease(lease)) {
                        log.info("the leadership with fencing token {} ended: its lease has run out", leaderLease.fencingToken)
                        break
                    }
                    leaderLease.renewed(sent)
                } catch (e: StoreException) {
                    log.debug("renewal: {}", e.message)
                }
            }
        } finally {
            leaderLease.end()
            view.own = null
            if (view.leaderName == nodeName) view.leaderName = null
            log.info("no longer leading with fencing token {}", leaderLease.fencingToken)
            onLost()
        }
    }

    private companion object {
        const val RENEWALS_PER_LEASE = 5
        const val ASIDE_MILLIS = 15_000L
        const val WATCH_MICROS = 8 * SECOND_MICROS
    }
}
