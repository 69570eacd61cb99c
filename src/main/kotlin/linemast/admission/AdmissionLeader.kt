package linemast.admission

import kotlinx.coroutines.delay
import linemast.leadership.LeaderLease
import linemast.serialization.JsonSize
import linemast.settings.AdmissionSettings
import linemast.store.CommitResult
import linemast.store.KeyValueStore
import linemast.store.Precondition
import linemast.store.RequestPriority
import linemast.store.RetryPolicy
import linemast.store.Write
import linemast.store.listAll
import linemast.store.storeResultOrNull
import linemast.time.Clock
import linemast.time.MICROS_PER_MILLI
import org.slf4j.LoggerFactory

/**
 * Computes and writes the admission plan for all controllers while some flow has to be limited. The leader runs it.
 *
 * @param capacity number of submissions per second that the store has capacity for.
 * @param openJobs returns the number of unfinished jobs of each flow.
 */
internal class AdmissionLeader(
    private val store: KeyValueStore,
    private val clock: Clock,
    private val leaderLease: LeaderLease,
    private val settings: AdmissionSettings,
    capacity: Double,
    private val maxValueBytes: Int,
    private val openJobs: suspend () -> Map<Flow, Int>,
) {
    private val logger = LoggerFactory.getLogger(AdmissionLeader::class.java)
    private val planner = AdmissionPlanner(settings, capacity)
    private val demandTable = DemandTable(settings.epochMicros * REPORT_VALID_EPOCHS)
    private var plan = AdmissionPlan.UNLIMITED
    private var planRevision = NO_REVISION
    private var plannedMicros = 0L

    /** Makes a plan in each epoch until the coroutine is cancelled. */
    suspend fun run() {
        RETRY.untilResult(logger) { readPlan() }
        while (true) {
            delay(settings.epochMicros / MICROS_PER_MILLI)
            if (leaderLease.mayIssueCommands(clock.nowMicros())) storeResultOrNull(logger) { planEpoch() }
        }
    }

    /**
     * Reads the stored plan. Its ranges advance from where the previous leader left them, so that job ids that were deferred to a
     * certain time are still admitted at that time.
     */
    private suspend fun readPlan() {
        val entry = store.get(AdmissionCodec.PLAN_KEY)
        planRevision = entry?.revision ?: NO_REVISION
        plannedMicros = clock.nowMicros()
        // A malformed plan is replaced by the next one.
        plan = entry?.let { storeResultOrNull(logger) { AdmissionCodec.decodePlan(it.value) } }
            ?: AdmissionPlan.UNLIMITED
    }

    private suspend fun planEpoch() {
        val now = clock.nowMicros()
        demandTable.update(store.listAll(AdmissionCodec.DEMAND_PREFIX).entries, now)
        val ranges = planner.planRanges(plan.ranges, demandTable.demands(now), openJobs(), now - plannedMicros)
        if (ranges.isEmpty() && plan.ranges.isEmpty()) {
            plannedMicros = now
            return
        }
        publish(withinLimit(AdmissionPlan(plan.epoch + 1, leaderLease.fencingToken, ranges)), now)
    }

    /** Returns [plan] without the flows with the highest admission rates, as many as have to be removed for it to fit a stored value. */
    private fun withinLimit(plan: AdmissionPlan): AdmissionPlan {
        var reduced = plan
        while (reduced.ranges.isNotEmpty() && JsonSize.of(AdmissionCodec.encode(reduced)) > maxValueBytes) {
            reduced = reduced.copy(ranges = reduced.ranges - reduced.ranges.maxBy { it.value.rate }.key)
        }
        return reduced
    }

    private suspend fun publish(next: AdmissionPlan, nowMicros: Long) {
        val preconditions = listOf(leaderLease.fence, Precondition(AdmissionCodec.PLAN_KEY, planRevision))
        val put = Write.Put(AdmissionCodec.PLAN_KEY, AdmissionCodec.encode(next))
        when (val result = store.commit(preconditions, listOf(put), RequestPriority.CRITICAL)) {
            is CommitResult.Applied -> {
                if (plan.ranges.keys != next.ranges.keys) logger.info("admission epoch {}: limited flows {}", next.epoch, next.ranges.keys)
                plan = next
                planRevision = result.revision
                plannedMicros = nowMicros
            }
            else -> readPlan()
        }
    }

    private companion object {
        val RETRY = RetryPolicy(delayMillis = 500L)

        /** A controller that has written no report for this number of epochs counts as having no demand. */
        const val REPORT_VALID_EPOCHS = 3

        /** As the revision in a precondition: the key must be absent. */
        const val NO_REVISION = 0L
    }
}
