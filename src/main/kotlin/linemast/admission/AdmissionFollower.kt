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
import linemast.store.WatchResult
import linemast.store.Write
import linemast.store.storeResultOrNull
import linemast.time.MICROS_PER_MILLI
import linemast.time.SECOND_MICROS
import org.slf4j.LoggerFactory

/** Keeps one controller's gate up to date, and tells the leader what the flows ask for here. Every controller runs it. */
internal class AdmissionFollower(
    private val store: KeyValueStore,
    private val gate: AdmissionController,
    private val settings: AdmissionSettings,
    private val nodeName: String,
    private val maxValueBytes: Int,
    /** Submissions a second below which there is nothing to tell. */
    private val quietRate: Double,
) {
    private val logger = LoggerFactory.getLogger(AdmissionFollower::class.java)
    private val demandKey = AdmissionCodec.demandKey(nodeName)
    private var demandVersion = 0L
    private var hasTold = false

    /** Begins both duties in [scope]. */
    fun start(scope: CoroutineScope) {
        scope.launch { followPlan() }
        scope.launch { tellDemand() }
    }

    private suspend fun followPlan() {
        var revision = -1L
        while (true) {
            if (revision < 0) revision = storeResultOrNull(logger) { readPlan() } ?: revision
            val result = if (revision <
                0
            ) {
                null
            } else {
                storeResultOrNull(logger) { store.watch(AdmissionCodec.PLAN_KEY, revision, WATCH_MICROS) }
            }
            when (result) {
                is WatchResult.Changes -> {
                    result.changes.mapNotNull { it.value }.forEach { take(it) }
                    revision = maxOf(revision, result.revision)
                }
                WatchResult.TooOld -> revision = -1
                null -> delay(RETRY_MILLIS)
            }
        }
    }

    private suspend fun readPlan(): Long {
        val page = store.list(AdmissionCodec.PLAN_KEY, null)
        page.entries.firstOrNull()?.let { take(it.value) }
        return page.revision
    }

    private suspend fun take(value: Fields) {
        storeResultOrNull(logger) { AdmissionCodec.decodePlan(value) }?.let(gate::apply)
    }

    private suspend fun tellDemand() {
        while (true) {
            delay(settings.epochMicros / MICROS_PER_MILLI)
            val demands = gate.demands()
            val isQuiet = demands.values.sumOf { it.offered } < quietRate && demands.values.none { it.waiting > 0 }
            if (isQuiet && !hasTold) continue
            hasTold = !isQuiet
            storeResultOrNull(logger) { put(fitting(demands)) }
        }
    }

    /** The flows that ask for most, as many as fit a value. */
    private fun fitting(demands: Map<Flow, FlowDemand>): Map<String, Any?> {
        val largestFirst = demands.entries.sortedByDescending { it.value.offered + it.value.waiting }
        var count = largestFirst.size
        while (true) {
            val value = AdmissionCodec.encode(DemandReport(nodeName, largestFirst.take(count).associate { it.key to it.value }))
            if (count == 0 || JsonSize.of(value) <= maxValueBytes) return value
            count--
        }
    }

    /** Depends on the version of the report before, so that a late write cannot undo a newer one. */
    private suspend fun put(value: Map<String, Any?>) {
        val result = store.commit(
            listOf(Precondition(demandKey, demandVersion)),
            listOf(Write.Put(demandKey, value)),
            RequestPriority.CRITICAL,
        )
        demandVersion = when (result) {
            is CommitResult.Applied -> result.revision
            else -> store.get(demandKey)?.revision ?: 0L
        }
    }

    private companion object {
        const val RETRY_MILLIS = 500L
        const val WATCH_MICROS = 10 * SECOND_MICROS
    }
}
