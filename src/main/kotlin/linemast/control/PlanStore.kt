package linemast.control

import kotlinx.coroutines.launch
import linemast.domain.Job
import linemast.planning.JobPlan
import linemast.planning.Planner
import linemast.serialization.JsonSize
import linemast.store.RequestPriority
import linemast.store.Write
import linemast.store.storeResultOrNull
import org.slf4j.LoggerFactory

/** Writes the current plans to the store, for as many jobs as fit a value. Operators read them; the program does not. */
internal class PlanStore(private val term: LeaderTerm, private val planner: Planner) {
    private val log = LoggerFactory.getLogger(PlanStore::class.java)

    /** Replaces the stored plans by those of [jobs]; a failed write is not retried. */
    fun write(jobs: Collection<Job>) {
        val plans = jobs.take(MAX_PLANS).mapNotNull { job -> planner.planOf(job)?.let { PlanCodec.encode(job.id, it) } }
        term.scope.launch {
            val storedPlans = limitToValueSize(plans)
            storeResultOrNull(log) {
                term.commit(emptyList(), listOf(Write.Put(KEY, encode(storedPlans))), RequestPriority.BACKGROUND)
            }
        }
    }

    private fun limitToValueSize(plans: List<Map<String, Any?>>): List<Map<String, Any?>> {
        var fitting = plans
        while (fitting.isNotEmpty() && JsonSize.of(encode(fitting)) > term.limits.maxValueBytes) {
            fitting = fitting.dropLast((fitting.size + TRIM_DIVISOR - 1) / TRIM_DIVISOR)
        }
        return fitting
    }

    private fun encode(plans: List<Map<String, Any?>>) = PlanCodec.encode(term.wallMicros(), plans)

    private companion object {
        const val KEY = "plan"
        const val MAX_PLANS = 40

        /** While the plans do not fit a value, the last 1/[TRIM_DIVISOR] of them, rounded up, is left out. */
        const val TRIM_DIVISOR = 4
    }
}

/** The stored form of plans; see docs/glossary.md for the names. */
internal object PlanCodec {
    /** Returns the stored form of one job's plan. */
    fun encode(jobId: String, plan: JobPlan): Map<String, Any?> = mapOf(
        "job" to jobId,
        "owned" to plan.baseline.map { Math.round(it) },
        "rented" to plan.scaleOut.map { Math.round(it) },
        "backup" to Math.round(plan.backupSlots),
        "top_up" to Math.round(plan.topUpTasks),
    )

    /** Returns the stored form of all [plans], each of which is in its stored form already. */
    fun encode(atWallMicros: Long, plans: List<Map<String, Any?>>): Map<String, Any?> = mapOf("at_us" to atWallMicros, "plans" to plans)
}
