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

/** Reads the outcomes of jobs that the leader does not know, and stores a report once reconciliation is complete. */
internal class ReconciliationMonitor(
    private val store: KeyValueStore,
    private val leaderLease: LeaderLease,
    private val clock: Clock,
    private val wallMicros: () -> Long,
    private val reconciliation: StateReconciliation,
    /** Whether the tasks of earlier leaders are accounted for. */
    private val isReconciled: () -> Boolean,
    /** Runs an action on the coroutine that owns the cluster state. */
    private val enqueueOnLeader: suspend (() -> Unit) -> Unit,
) {
    private val logger = LoggerFactory.getLogger(ReconciliationMonitor::class.java)

    /** Runs until it is cancelled; reads and writes are coroutines of [scope]. */
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
        logger.debug("outcome of {}: {}", job, e.message)
        OutcomeLookup.Failed
    } catch (e: MalformedException) {
        logger.error("outcome of {}: {}", job, e.message)
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
        storeResultOrNull(logger) { store.commit(listOf(leaderLease.fence), listOf(write), RequestPriority.BACKGROUND) }
    }

    private companion object {
        const val POLL_INTERVAL_MILLIS = 100L

        /** Number of outcomes that one coroutine reads one after the other. */
        const val LOOKUPS_PER_COROUTINE = 20
    }
}
