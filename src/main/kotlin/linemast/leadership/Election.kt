package linemast.leadership

import kotlinx.coroutines.delay
import linemast.store.KeyValueStore
import linemast.store.RetryPolicy
import linemast.store.StoreException
import linemast.time.Clock
import linemast.time.MICROS_PER_MILLI
import org.slf4j.LoggerFactory

/**
 * Campaigns for the leadership and, once elected, renews the leader's lease until the term ends; then campaigns again, for as
 * long as the controller runs.
 *
 * @param leaderLeaseMicros time to live of the leader's lease in the store.
 * @param degradedModeMicros how long a leader that cannot renew its lease may continue to respond to heartbeats.
 * @property view receives every leader and fencing token that the election reads, and this controller's own lease.
 * @property onElected is called when a term of this controller begins.
 * @property onLost is called when a term of this controller ends, for whatever reason.
 */
class Election(
    private val store: KeyValueStore,
    private val clock: Clock,
    private val nodeName: String,
    private val leaderLeaseMicros: Long,
    degradedModeMicros: Long,
    private val view: LeaderView,
    private val onElected: (LeaderLease) -> Unit,
    private val onLost: () -> Unit,
) {
    private val log = LoggerFactory.getLogger(Election::class.java)
    private val retry = RetryPolicy(delayMillis = 300)
    private val campaign = LeaderCampaign(store, clock, nodeName, leaderLeaseMicros, degradedModeMicros, view, retry)

    /** Campaigns and leads until the coroutine is cancelled. */
    suspend fun run(): Nothing = retry.repeatForever(log, "election") {
        campaign.runOnce()?.let { term ->
            lead(term)
            if (term.leaderLease.hasSteppedDown) yieldLeadership(term)
        }
    }

    private suspend fun lead(term: ElectedTerm) {
        val leaderLease = term.leaderLease
        log.info("leading with fencing token {}", leaderLease.fencingToken)
        view.ownLease = leaderLease
        view.leaderName = nodeName
        view.observeFencingToken(leaderLease.fencingToken)
        onElected(leaderLease)
        try {
            renewUntilTermEnds(term)
        } finally {
            leaderLease.end()
            view.ownLease = null
            if (view.leaderName == nodeName) view.leaderName = null
            log.info("no longer leading with fencing token {}", leaderLease.fencingToken)
            onLost()
        }
    }

    /** Renews the lease; returns once both the lease and degraded mode have expired, or the term has ended otherwise. */
    private suspend fun renewUntilTermEnds(term: ElectedTerm) {
        val leaderLease = term.leaderLease
        while (leaderLease.mayRespondToHeartbeats(clock.nowMicros())) {
            delay(leaderLeaseMicros / RENEWALS_PER_LEASE / MICROS_PER_MILLI)
            val sentMicros = clock.nowMicros()
            try {
                if (!store.renewLease(term.storeLeaseId)) {
                    log.info("the leadership with fencing token {} ended: its lease has expired", leaderLease.fencingToken)
                    return
                }
                leaderLease.recordRenewal(sentMicros)
            } catch (e: StoreException) {
                log.debug("failed leader lease renewal: {}", e.message)
            }
        }
    }

    /** Revokes the lease, then pauses so that the other controllers campaign before this one. */
    private suspend fun yieldLeadership(term: ElectedTerm) {
        try {
            store.revokeLease(term.storeLeaseId)
        } catch (e: StoreException) {
            log.debug("revoking the leader lease failed: {}", e.message)
        }
        delay(STEP_DOWN_PAUSE_MILLIS)
    }

    private companion object {
        const val RENEWALS_PER_LEASE = 5
        const val STEP_DOWN_PAUSE_MILLIS = 15_000L
    }
}
