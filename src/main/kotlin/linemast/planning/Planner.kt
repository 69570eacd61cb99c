package linemast.planning

import linemast.domain.Job
import linemast.domain.Machine
import linemast.settings.Policy
import linemast.settings.Settings

/**
 * Plans each job over long intervals as the paper does: baseline targets in proportion to forecast capacity, the rest scaled
 * out, backups for baseline capacity that is not free yet, and a top-up for what fell short. It owns the plans in force.
 */
class Planner(settings: Settings, private val policy: Policy, private val runTimes: RunTimeEstimates) {
    /** Which service-level objectives jobs can still meet. */
    val objectives = ServiceLevelObjectives(settings.objectives, settings.teams, runTimes)
    private val deadlines = JobDeadlines(settings.objectives)
    private val plans = HashMap<String, JobPlan>()

    /** The plan of [job]; null if it has none yet. */
    fun planOf(job: Job): JobPlan? = plans[job.id]

    /** Drops the plans of all jobs but [ids]. */
    fun retainPlans(ids: Set<String>) {
        plans.keys.retainAll(ids)
    }

    /** Drops the plans of jobs [ids], so that they are planned anew. */
    fun removePlans(ids: Collection<String>) = ids.forEach(plans::remove)

    /** When [job] has to end, on the wall clock: its own or an implied deadline, or the end of its window in a pipeline. */
    fun deadlineWallMicros(job: Job): Long = deadlines.wallMicros(job)

    /** Whether [job] has to end clearly sooner than its plan says: a job that depends on it was accepted after it was planned. */
    fun isOutdated(job: Job): Boolean {
        val plan = plans[job.id] ?: return false
        return deadlineWallMicros(job) < plan.deadlineWallMicros - policy.scalingIntervalMicros
    }

    /** Plans jobs in the order of the [request], all of them anew or only those without a plan that still holds; then stages. */
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

    /** A plan that still holds keeps its baseline capacity. */
    private fun reserve(job: Job, plan: JobPlan, forecast: BaselineForecast) {
        for (interval in plan.baseline.indices) forecast.reserve(job, interval, plan.slotsInInterval(interval))
    }

    private fun deadline(job: Job, request: PlanningRequest): Deadline {
        val deadlineWallMicros = deadlineWallMicros(job)
        return Deadline(deadlineWallMicros, deadlineWallMicros - request.wallMicros)
    }

    /** Plans the known stages of pipelines in the paper's order; a stage gets about the throughput of its neighbour. */
    private fun planStages(request: PlanningRequest, stagePlanner: StagePlanner) {
        fun plan(stage: WaitingStage, neighbour: JobPlan?, reserve: Boolean): JobPlan =
            stagePlanner.plan(stage, neighbour, request.scaleOutEstimates.startupMicros(stage.job), deadline(stage.job, request), reserve)

        fun scaleOutCost(stage: WaitingStage): Double {
            val alone = plan(stage, neighbour = null, reserve = false)
            return alone.scaleOut.sum() * alone.taskMicros * stage.job.spec.vcpus * request.scaleOutEstimates.vcpuPrice(stage.job)
        }
        for (ordered in costliestFirst(request.stages, ::scaleOutCost)) {
            val neighbour = ordered.neighbour?.let { plans[it.job.id] }
            plans[ordered.stage.job.id] = plan(ordered.stage, neighbour, reserve = true)
        }
    }

    /** What should be scaled out now for each of [jobs] that has a plan. */
    fun scaleOutDemands(jobs: List<Job>, isBaseline: (Machine) -> Boolean, nowMicros: Long): List<ScaleOutDemand> =
        jobs.mapNotNull { job -> plans[job.id]?.let { plan -> ScaleOutDemand.of(job, plan, isBaseline, nowMicros) } }

    private companion object {
        const val INTERVALS = 10
    }
}
