package linemast.admission

import kotlinx.coroutines.delay
import linemast.leadership.Authority
import linemast.serialization.Cbor
import linemast.settings.AdmissionSettings
import linemast.store.CommitResult
import linemast.store.Condition
import linemast.store.Priority
import linemast.store.Store
import linemast.store.Write
import linemast.store.attempt
import linemast.store.listAll
import linemast.time.Clock
import org.slf4j.LoggerFactory

/** Makes the plan that all controllers admit by, while some flow has to be limited: a duty of the leader. */
internal class AdmissionLeader(
    private val store: Store,
    private val clock: Clock,
    private val authority: Authority,
    private val settings: AdmissionSettings,
    capacity: Double,
    private val maxValueBytes: Int,
    /** Unfinished jobs of each flow. */
    private val openJobs: suspend () -> Map<Flow, Int>,
) {
    private val logger = LoggerFactory.getLogger(AdmissionLeader::class.java)
    private val planner = AdmissionPlanner(settings, capacity)
    private val board = DemandBoard(settings.epochMicros * VALID_EPOCHS)
    private var plan = AdmissionPlan.UNLIMITED
    private var version = 0L
    private var plannedMicros = 0L

    /** Plans until it is cancelled. */
    suspend fun run() {
        while (attempt(logger) { readPlan() } == null) delay(RETRY_MILLIS)
        while (true) {
            delay(settings.epochMicros / MICROS_PER_MILLI)
            if (authority.mayCommand(clock.nowMicros())) attempt(logger) { step() }
        }
    }

    /** The arcs go on where an earlier leader left them, so that what has been told when to come still has its turn. */
    private suspend fun readPlan() {
        val item = store.get(AdmissionCodec.PLAN_KEY)
        version = item?.version ?: 0L
        plannedMicros = clock.nowMicros()
        // One that cannot be read is replaced.
        plan = item?.let { attempt(logger) { AdmissionCodec.decodePlan(it.value) } } ?: AdmissionPlan.UNLIMITED
    }

    private suspend fun step() {
        val now = clock.nowMicros()
        board.take(store.listAll(AdmissionCodec.DEMAND_PREFIX).items, now)
        val arcs = planner.next(plan.arcs, board.demands(now), openJobs(), now - plannedMicros)
        if (arcs.isEmpty() && plan.arcs.isEmpty()) {
            plannedMicros = now
            return
        }
        publish(fitting(AdmissionPlan(plan.epoch + 1, authority.fencingToken, arcs)), now)
    }

    /** Without the arcs that let in most, until the plan fits a value. */
    private fun fitting(plan: AdmissionPlan): AdmissionPlan {
        var fitting = plan
        while (fitting.arcs.isNotEmpty() && Cbor.jsonSize(AdmissionCodec.encode(fitting)) > maxValueBytes) {
            fitting = fitting.copy(arcs = fitting.arcs - fitting.arcs.maxBy { it.value.pace }.key)
        }
        return fitting
    }

    private suspend fun publish(next: AdmissionPlan, nowMicros: Long) {
        val conditions = listOf(authority.fence, Condition(AdmissionCodec.PLAN_KEY, version))
        val put = Write.Put(AdmissionCodec.PLAN_KEY, AdmissionCodec.encode(next))
        when (val result = store.commit(conditions, listOf(put), Priority.VITAL)) {
            is CommitResult.Applied -> {
                if (plan.arcs.keys != next.arcs.keys) logger.info("admission epoch {}: limited {}", next.epoch, next.arcs.keys)
                plan = next
                version = result.revision
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
