package linemast.planning

import linemast.domain.Job
import linemast.domain.Machine
import linemast.settings.Policy
import linemast.settings.Settings

/**
 * Plans each job over long intervals: baseline targets in proportion to forecast capacity, the remaining tasks scaled out, backup
 * slots for baseline capacity that is not free yet, and a top-up for the shortfall against the previous plan. Holds the current
 * plan of each job.
 *
 * The method is that of the paper "Predictive Execution of Workflows in a HPC+Cloud Environment" (Behera et al.); docs/design.md
 * lists what is kept and what differs.
 */
class Planner(settings: Settings, private val policy: Policy, private val runTimes: RunTimeEstimates) {
    /** Computes which service-level objectives jobs can still meet. */
    val objectives = ServiceLevelObjectives(settings.objectives, settings.teams, runTimes)
    private val deadlines = JobDeadlines(settings.objectives)
    private val plans = HashMap<String, JobPlan>()

    /** Returns the plan of [job]; null if it has none yet. */
    fun planOf(job: Job): JobPlan? = plans[job.id]

    /** Removes the plans of all jobs except [ids]. */
    fun retainPlans(ids: Set<String>) {
        plans.keys.retainAll(ids)
    }

    /** Removes the plans of the jobs [ids], so that they are planned again. */
    fun removePlans(ids: Collection<String>) = ids.forEach(plans::remove)

    /** Returns when [job] has to end, in wall time: its own or an implied deadline, or the end of its window in a pipeline. */
    fun deadlineWallMicros(job: Job): Long = deadlines.wallMicros(job)

    /**
     * Whether [job] has to end more than one scaling interval before the deadline in its plan, because a job that depends on it
     * was accepted after it was planned.
     */
    fun isOutdated(job: Job): Boolean {
        val plan = plans[job.id] ?: return false
        return deadlineWallMicros(job) < plan.deadlineWallMicros - policy.scalingIntervalMicros
    }

    /** Plans the jobs of [request] in their order, either all or only those without a plan that is up to date, and then the stages. */
    fun plan(request: PlanningRequest) {
        val horizon = PlanningHorizon(request.nowMicros, policy.fullPlanIntervalMicros, INTERVALS)
        val forecast = BaselineForecast(request.baselineMachines, horizon, runTimes, request.isExcluded)
        val jobPlanner = JobPlanner(forecast, runTimes, horizon)
        for (job in request.jobs) {
            val current = plans[job.id]
            if (!request.replanAll && current != null && !isOutdated(job)) {
                reserve(job, current, forecast)
            } else {
                plans[job.id] = jobPlanner.plan(job, deadline(job, request), request.scaleOutEstimates.startupMicros(job), current)
            }
        }
        planStages(request, StagePlanner(forecast, runTimes, horizon))
    }

    /** Reserves the baseline capacity of a [plan] that is still up to date. */
    private fun reserve(job: Job, plan: JobPlan, forecast: BaselineForecast) {
        for (interval in plan.baseline.indices) forecast.reserve(job, interval, plan.slotsInInterval(interval))
    }

    private fun deadline(job: Job, request: PlanningRequest): Deadline {
        val deadlineWallMicros = deadlineWallMicros(job)
        return Deadline(deadlineWallMicros, deadlineWallMicros - request.wallMicros)
    }

    /** Plans the blocked stages of pipelines, ordered by [costliestFirst]; each stage gets about the throughput of its neighbour. */
    private fun planStages(request: PlanningRequest, stagePlanner: StagePlanner) {
        fun plan(stage: BlockedStage, neighbour: JobPlan?, reserve: Boolean): JobPlan =
            stagePlanner.plan(stage, neighbour, request.scaleOutEstimates.startupMicros(stage.job), deadline(stage.job, request), reserve)

        fun scaleOutCost(stage: BlockedStage): Double {
            val alone = plan(stage, neighbour = null, reserve = false)
            return alone.scaleOut.sum() * alone.taskMicros * stage.job.spec.vcpus * request.scaleOutEstimates.vcpuPrice(stage.job)
        }
        for (ordered in costliestFirst(request.stages, ::scaleOutCost)) {
            val neighbour = ordered.neighbour?.let { plans[it.job.id] }
            plans[ordered.stage.job.id] = plan(ordered.stage, neighbour, reserve = true)
        }
    }

    /** Returns the scale-out demand at [nowMicros] of each of [jobs] that has a plan. */
    fun scaleOutDemands(jobs: List<Job>, isBaseline: (Machine) -> Boolean, nowMicros: Long): List<ScaleOutDemand> =
        jobs.mapNotNull { job -> plans[job.id]?.let { plan -> ScaleOutDemand.of(job, plan, isBaseline, nowMicros) } }

    private companion object {
        const val INTERVALS = 10
    }
}
