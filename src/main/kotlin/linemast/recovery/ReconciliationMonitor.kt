package linemast.recovery

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import linemast.jobs.readOutcome
import linemast.leadership.LeaderLease
import linemast.serialization.MalformedException
import linemast.store.KeyValueStore
import linemast.store.RequestPriority
import linemast.store.StoreException
import linemast.store.Write
import linemast.store.storeResultOrNull
import linemast.time.Clock
import org.slf4j.LoggerFactory

/** Looks up the outcomes of jobs that are unknown to the leader, and stores a report once the reconciliation is complete. */
internal class ReconciliationMonitor(
    private val store: KeyValueStore,
    private val leaderLease: LeaderLease,
    private val clock: Clock,
    private val wallMicros: () -> Long,
    private val reconciliation: StateReconciliation,
    /** Whether all tasks of previous leaders are reconciled. */
    private val isReconciled: () -> Boolean,
    /** Queues an action for the coroutine that owns the cluster state, and returns before the action runs. */
    private val enqueueOnLeader: suspend (() -> Unit) -> Unit,
) {
    private val logger = LoggerFactory.getLogger(ReconciliationMonitor::class.java)

    /** Polls the reconciliation until it is cancelled; starts a coroutine in [scope] for each sequence of reads and for writes. */
    suspend fun run(scope: CoroutineScope) {
        while (true) {
            enqueueOnLeader {
                val dueJobs = reconciliation.unknownJobs.takeDueLookups(clock.nowMicros())
                dueJobs.chunked(LOOKUPS_PER_COROUTINE).forEach { jobs -> scope.launch { lookUpAll(jobs) } }
                if (reconciliation.tryComplete(isReconciled(), clock.nowMicros())) scope.launch { storeReport() }
            }
            delay(POLL_INTERVAL_MILLIS)
        }
    }

    private suspend fun lookUpAll(jobs: List<String>) {
        for (job in jobs) {
            val lookup = lookUp(job)
            enqueueOnLeader { reconciliation.unknownJobs.recordLookup(job, lookup, clock.nowMicros()) }
        }
    }

    private suspend fun lookUp(job: String): OutcomeLookup = try {
        val stored = store.readOutcome(job, RequestPriority.HIGH)
        if (stored == null) OutcomeLookup.Absent else OutcomeLookup.Found(stored.record.outcome)
    } catch (e: StoreException) {
        logger.debug("reading the outcome of job {} failed: {}", job, e.message)
        OutcomeLookup.Failed
    } catch (e: MalformedException) {
        logger.error("the outcome of job {} is malformed: {}", job, e.message)
        OutcomeLookup.Failed
    }

    private suspend fun storeReport() {
        val report = ReconciliationReport(
            wallMicros(),
            leaderLease.fencingToken,
            reconciliation.statistics,
            reconciliation.unknownJobs.needingAttention,
        )
        val write = Write.Put(ReconciliationReportCodec.KEY, ReconciliationReportCodec.encode(report))
        storeResultOrNull(logger) {
            store.commit(listOf(leaderLease.fence), listOf(write), RequestPriority.BACKGROUND)
        }
    }

    private companion object {
        const val POLL_INTERVAL_MILLIS = 100L

        /** Maximum number of outcomes that one coroutine reads, one after the other. */
        const val LOOKUPS_PER_COROUTINE = 20
    }
}
