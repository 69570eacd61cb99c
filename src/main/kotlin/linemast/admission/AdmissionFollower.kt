package linemast.admission

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import linemast.serialization.Fields
import linemast.serialization.JsonSize
import linemast.settings.AdmissionSettings
import linemast.store.CommitResult
import linemast.store.KeyValueStore
import linemast.store.Precondition
import linemast.store.RequestPriority
import linemast.store.RetryPolicy
import linemast.store.WatchResult
import linemast.store.Write
import linemast.store.storeResultOrNull
import linemast.time.MICROS_PER_MILLI
import linemast.time.SECOND_MICROS
import org.slf4j.LoggerFactory

/**
 * Keeps the admission plan of one controller up to date and reports the controller's demand to the leader. Every controller runs it.
 *
 * @param minReportedRate number of submissions per second below which the demand is not reported.
 */
internal class AdmissionFollower(
    private val store: KeyValueStore,
    private val controller: AdmissionController,
    private val settings: AdmissionSettings,
    private val nodeName: String,
    private val maxValueBytes: Int,
    private val minReportedRate: Double,
) {
    private val logger = LoggerFactory.getLogger(AdmissionFollower::class.java)
    private val demandKey = AdmissionCodec.demandKey(nodeName)
    private var demandRevision = NO_REVISION
    private var hasReportedHighDemand = false

    /** Follows the plan and reports the demand until [scope] is cancelled. */
    fun start(scope: CoroutineScope) {
        scope.launch { followPlan() }
        scope.launch { reportDemand() }
    }

    private suspend fun followPlan() {
        while (true) {
            val revision = RETRY.untilResult(logger) { readPlan() }
            watchPlan(revision)
        }
    }

    private suspend fun readPlan(): Long {
        val page = store.list(AdmissionCodec.PLAN_KEY, null)
        page.entries.firstOrNull()?.let { apply(it.value) }
        return page.revision
    }

    /** Applies the changes of the plan after [fromRevision]; returns when the store no longer has all changes. */
    private suspend fun watchPlan(fromRevision: Long) {
        var revision = fromRevision
        while (true) {
            val result = RETRY.untilResult(logger) {
                store.watch(AdmissionCodec.PLAN_KEY, revision, WATCH_TIMEOUT_MICROS)
            }
            when (result) {
                is WatchResult.Changes -> {
                    result.changes.mapNotNull { it.value }.forEach { apply(it) }
                    revision = maxOf(revision, result.revision)
                }
                WatchResult.TooOld -> return
            }
        }
    }

    private suspend fun apply(value: Fields) {
        storeResultOrNull(logger) { AdmissionCodec.decodePlan(value) }?.let(controller::apply)
    }

    private suspend fun reportDemand() {
        while (true) {
            delay(settings.epochMicros / MICROS_PER_MILLI)
            val demands = controller.demands()
            val isLow = demands.values.sumOf { it.offeredRate } < minReportedRate && demands.values.none { it.deferredJobs > 0 }
            // After a report of high demand, the first report of low demand is still written, so that it replaces the other one.
            if (isLow && !hasReportedHighDemand) continue
            hasReportedHighDemand = !isLow
            storeResultOrNull(logger) { put(reportWithinLimit(demands)) }
        }
    }

    /** Returns the stored form of a report with as many flows as fit a stored value, those with the highest demand first. */
    private fun reportWithinLimit(demands: Map<Flow, FlowDemand>): Map<String, Any?> {
        val highestFirst = demands.entries.sortedByDescending { it.value.offeredRate + it.value.deferredJobs }
        var count = highestFirst.size
        while (true) {
            val report = DemandReport(nodeName, highestFirst.take(count).associate { it.key to it.value })
            val value = AdmissionCodec.encode(report)
            if (count == 0 || JsonSize.of(value) <= maxValueBytes) return value
            count--
        }
    }

    /** Writes a report on condition that the previous one is unchanged, so that a delayed write cannot overwrite a newer report. */
    private suspend fun put(value: Map<String, Any?>) {
        val result = store.commit(
            listOf(Precondition(demandKey, demandRevision)),
            listOf(Write.Put(demandKey, value)),
            RequestPriority.CRITICAL,
        )
        demandRevision = when (result) {
            is CommitResult.Applied -> result.revision
            else -> store.get(demandKey)?.revision ?: NO_REVISION
        }
    }

    private companion object {
        val RETRY = RetryPolicy(delayMillis = 500L)
        const val WATCH_TIMEOUT_MICROS = 10 * SECOND_MICROS

        /** As the revision in a precondition: the key must be absent. */
        const val NO_REVISION = 0L
    }
}
