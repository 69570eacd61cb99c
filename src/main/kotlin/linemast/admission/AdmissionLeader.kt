package linemast.admission

import kotlinx.coroutines.delay
import linemast.leadership.LeaderLease
import linemast.serialization.JsonSize
import linemast.settings.AdmissionSettings
import linemast.store.CommitResult
import linemast.store.KeyValueStore
import linemast.store.Precondition
import linemast.store.RequestPriority
import linemast.store.Write
import linemast.store.listAll
import linemast.store.storeResultOrNull
import linemast.time.Clock
import linemast.time.MICROS_PER_MILLI
import org.slf4j.LoggerFactory

/** Makes the plan that all controllers admit by, while some flow has to be limited: a duty of the leader. */
internal class AdmissionLeader(
    private val store: KeyValueStore,
    private val clock: Clock,
    private val leaderLease: LeaderLease,
    private val settings: AdmissionSettings,
    capacity: Double,
    private val maxValueBytes: Int,
    /** Unfinished jobs of each flow. */
    private val openJobs: suspend () -> Map<Flow, Int>,
) {
    private val logger = LoggerFactory.getLogger(AdmissionLeader::class.java)
    private val planner = AdmissionPlanner(settings, capacity)
    private val board = DemandTable(settings.epochMicros * VALID_EPOCHS)
    private var plan = AdmissionPlan.UNLIMITED
    private var revision = 0L
    private var plannedMicros = 0L

    /** Plans until it is cancelled. */
    suspend fun run() {
        while (storeResultOrNull(logger) { readPlan() } == null) delay(RETRY_MILLIS)
        while (true) {
            delay(settings.epochMicros / MICROS_PER_MILLI)
            if (leaderLease.mayIssueCommands(clock.nowMicros())) storeResultOrNull(logger) { step() }
        }
    }

    /** The arcs go on where an earlier leader left them, so that what has been told when to come still has its turn. */
    private suspend fun readPlan() {
        val entry = store.get(AdmissionCodec.PLAN_KEY)
        revision = entry?.revision ?: 0L
        plannedMicros = clock.nowMicros()
        // One that cannot be read is replaced.
        plan = entry?.let { storeResultOrNull(logger) { AdmissionCodec.decodePlan(it.value) } } ?: AdmissionPlan.UNLIMITED
    }

    private suspend fun step() {
        val now = clock.nowMicros()
        board.take(store.listAll(AdmissionCodec.DEMAND_PREFIX).entries, now)
        val ranges = planner.next(plan.ranges, board.demands(now), openJobs(), now - plannedMicros)
        if (ranges.isEmpty() && plan.ranges.isEmpty()) {
            plannedMicros = now
            return
        }
        publish(fitting(AdmissionPlan(plan.epoch + 1, leaderLease.fencingToken, ranges)), now)
    }

    /** Without the arcs that let in most, until the plan fits a value. */
    private fun fitting(plan: AdmissionPlan): AdmissionPlan {
        var fitting = plan
        while (fitting.ranges.isNotEmpty() && JsonSize.of(AdmissionCodec.encode(fitting)) > maxValueBytes) {
            fitting = fitting.copy(ranges = fitting.ranges - fitting.ranges.maxBy { it.value.rate }.key)
        }
        return fitting
    }

    private suspend fun publish(next: AdmissionPlan, nowMicros: Long) {
        val preconditions = listOf(leaderLease.fence, Precondition(AdmissionCodec.PLAN_KEY, revision))
        val put = Write.Put(AdmissionCodec.PLAN_KEY, AdmissionCodec.encode(next))
        when (val result = store.commit(preconditions, listOf(put), RequestPriority.CRITICAL)) {
            is CommitResult.Applied -> {
                if (plan.ranges.keys != next.ranges.keys) logger.info("admission epoch {}: limited {}", next.epoch, next.ranges.keys)
                plan = next
                revision = result.revision
                plannedMicros = nowMicros
            }
            else -> readPlan()
        }
    }

    private companion object {
        const val RETRY_MILLIS = 500L
        const val MICROS_PER_MILLI = 1_000L

        /** A controller that has not told its demand for so many epochs has none. */
        const val VALID_EPOCHS = 3
    }
}
