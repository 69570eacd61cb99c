package linemast.control

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import linemast.domain.Job
import linemast.leadership.LeaderLease
import linemast.planning.Planner
import linemast.serialization.Cbor
import linemast.store.KeyValueStore
import linemast.store.RequestPriority
import linemast.store.Write
import linemast.store.storeResultOrNull
import org.slf4j.LoggerFactory

/** Writes the plans as they stand to the store, for operators to read: as many jobs as fit a value. Nothing reads them back. */
internal class PlanStore(
    private val store: KeyValueStore,
    private val scope: CoroutineScope,
    private val leaderLease: LeaderLease,
    private val planner: Planner,
    private val maxValueBytes: Int,
    private val wallMicros: () -> Long,
) {
    private val log = LoggerFactory.getLogger(PlanStore::class.java)

    /** Replaces the stored plans by those of [jobs]. */
    fun write(jobs: Collection<Job>) {
        var plans = jobs.take(MAX_PLANS).mapNotNull(::encode)
        scope.launch {
            while (plans.isNotEmpty() && Cbor.jsonSize(value(plans)) > maxValueBytes) {
                plans = plans.dropLast((plans.size + DROPPED_PARTS - 1) / DROPPED_PARTS)
            }
            storeResultOrNull(log) {
                store.commit(listOf(leaderLease.fence), listOf(Write.Put(KEY, value(plans))), RequestPriority.BACKGROUND)
            }
        }
    }

    private fun value(plans: List<Map<String, Any?>>) = mapOf("at_us" to wallMicros(), "plans" to plans)

    private fun encode(job: Job): Map<String, Any?>? {
        val plan = planner.planOf(job) ?: return null
        return mapOf(
            "job" to job.id,
            "owned" to plan.baseline.map { Math.round(it) },
            "rented" to plan.rented.map { Math.round(it) },
            "backup" to Math.round(plan.backup),
            "top_up" to Math.round(plan.topUp),
        )
    }

    private companion object {
        const val KEY = "plan"
        const val MAX_PLANS = 40

        /** As long as the plans do not fit, one part in this many is left out. */
        const val DROPPED_PARTS = 4
    }
}
