package linemast.recovery

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import linemast.jobs.JobKeys
import linemast.jobs.JobRecordCodec
import linemast.leadership.LeaderLease
import linemast.serialization.MalformedException
import linemast.store.KeyValueStore
import linemast.store.RequestPriority
import linemast.store.StoreException
import linemast.store.Write
import linemast.store.storeResultOrNull
import linemast.time.Clock
import org.slf4j.LoggerFactory

/** Reads the verdicts of jobs that the leader does not know, and stores what a recovery has found, for operators to read. */
internal class RecoveryStore(
    private val store: KeyValueStore,
    private val leaderLease: LeaderLease,
    private val clock: Clock,
    private val wallMicros: () -> Long,
    private val recovery: Recovery,
    /** Whether the tasks of earlier leaders are accounted for. */
    private val isReconciled: () -> Boolean,
    /** Runs an action on the coroutine that owns the cluster state. */
    private val onLeaderLoop: suspend (() -> Unit) -> Unit,
) {
    private val logger = LoggerFactory.getLogger(RecoveryStore::class.java)

    /** Asks until it is cancelled. */
    suspend fun run(scope: CoroutineScope) {
        while (true) {
            onLeaderLoop {
                recovery.unknownJobs.toAsk(clock.nowMicros()).chunked(JOBS_AT_ONCE).forEach { jobs -> scope.launch { ask(jobs) } }
                if (recovery.step(isReconciled(), clock.nowMicros())) scope.launch { write() }
            }
            delay(LOOK_MILLIS)
        }
    }

    private suspend fun ask(jobs: List<String>) {
        for (job in jobs) {
            val answer = read(job)
            onLeaderLoop { recovery.unknownJobs.answered(job, answer, clock.nowMicros()) }
        }
    }

    private suspend fun read(job: String): OutcomeLookup = try {
        val entry = store.get(JobKeys.outcome(job), RequestPriority.HIGH)
        if (entry == null) OutcomeLookup.Absent else OutcomeLookup.Found(JobRecordCodec.decodeOutcome(entry.value).outcome)
    } catch (e: StoreException) {
        logger.debug("verdict of {}: {}", job, e.message)
        OutcomeLookup.NoAnswer
    } catch (e: MalformedException) {
        logger.error("verdict of {}: {}", job, e.message)
        OutcomeLookup.NoAnswer
    }

    private suspend fun write() {
        val value = mapOf(
            "at_us" to wallMicros(),
            "helm" to leaderLease.fencingToken,
            "summary" to recovery.ledger.summary(),
            "jobs" to
                recovery.unknownJobs.suspect.entries.take(MAX_LISTED).map { (id, state) ->
                    mapOf(
                        "job" to id,
                        "standing" to state.name.lowercase(),
                    )
                },
        )
        storeResultOrNull(logger) { store.commit(listOf(leaderLease.fence), listOf(Write.Put(KEY, value)), RequestPriority.BACKGROUND) }
    }

    private companion object {
        const val KEY = "recovery"
        const val LOOK_MILLIS = 100L
        const val JOBS_AT_ONCE = 20

        /** So that the record fits a value. */
        const val MAX_LISTED = 15
    }
}
