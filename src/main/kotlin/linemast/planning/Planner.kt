package linemast.planning

import linemast.domain.Job
import linemast.domain.Machine
import linemast.domain.MachineType
import linemast.settings.Policy
import linemast.settings.Settings
import linemast.settings.shortestFinishedMicros
import linemast.settings.shortestWaitMicros

/** One job's plan: tasks per interval on owned and on rented machines. */
class JobPlan(
    val plannedMicros: Long,
    val intervalMicros: Long,
    val taskMicros: Long,
    /** Tasks to be run on owned machines, by interval. */
    val baseline: DoubleArray,
    /** Tasks to be run on rented machines, by interval. */
    val scaleOut: DoubleArray,
    /** Tasks side by side that rented machines must be able to run. */
    val scaleOutSlots: Double,
    /** Owned room, in tasks, that was not free at once when planned. */
    val backupSlots: Double,
    /** Completed tasks when the plan was made. */
    val completedWhenPlanned: Int,
    /** Tasks by which the past interval fell short. */
    val topUpTasks: Double,
    /** When the job has to end, as known when planned. */
    val deadlineWallMicros: Long = Long.MAX_VALUE,
    /** How long the job runs for by this plan, once it can start. */
    val spanMicros: Long = 0L,
) {
    /** How many tasks should have been completed by [nowMicros]. */
    fun dueBy(nowMicros: Long): Double {
        val passed = (nowMicros - plannedMicros).toDouble() / intervalMicros
        return (baseline.indices).sumOf { i -> (baseline[i] + scaleOut[i]) * (passed - i).coerceIn(0.0, 1.0) }
    }

    /** Tasks side by side booked on owned machines in the interval of [nowMicros]. */
    fun baselineSlots(nowMicros: Long): Double {
        val i = ((nowMicros - plannedMicros) / intervalMicros).toInt()
        if (i !in baseline.indices) return 0.0
        return baseline[i] / slots(intervalMicros, taskMicros)
    }

    companion object {
        /** How many tasks one place runs, one after another, in [spanMicros]. */
        fun slots(spanMicros: Long, taskMicros: Long): Double = (spanMicros.toDouble() / taskMicros).coerceAtLeast(MIN_SLOTS)

        /** The longest time over which rented machines are planned to work on one job. */
        fun maxScaleOutSpanMicros(intervalMicros: Long, taskMicros: Long): Long =
            maxOf(MAX_SCALE_OUT_INTERVALS * intervalMicros, taskMicros)

        private const val MIN_SLOTS = 0.05
        private const val MAX_SCALE_OUT_INTERVALS = 2L
    }
}

/** A job's wish for rented machines. */
class ScaleOutDemand(val job: Job, val slots: Double)

/**
 * Plans each job over long intervals as the paper does: owned targets in proportion to forecast room, the rest
 * rented, backups for owned room that is not there yet, and a top-up for what fell short.
 */
class Planner(settings: Settings, private val policy: Policy, private val runTimes: RunTimeEstimates) {
    val objectives = ServiceLevelObjectives(settings.objectives, settings.teams, runTimes)
    private val plans = HashMap<String, JobPlan>()

    /** By job class: the shortest time to the end and to the start that users aim at. */
    private val finishedWithin = settings.objectives.shortestFinishedMicros()
    private val startedWithin = settings.objectives.shortestWaitMicros()

    /** The plan of [job]; null if it has none yet. */
    fun planOf(job: Job): JobPlan? = plans[job.id]

    /** Drops the plans of all jobs but [ids]. */
    fun retainPlans(ids: Set<String>) {
        plans.keys.retainAll(ids)
    }

    /** A plan that was made ahead is made anew when its job is there. */
    fun dropPlans(ids: Collection<String>) = ids.forEach(plans::remove)

    /** Whether [job] has to end clearly sooner than its plan says: a job that needs it was accepted after it was planned. */
    fun isOutdated(job: Job): Boolean =
        plans[job.id]?.let { deadlineWallMicros(job) < it.deadlineWallMicros - policy.shortIntervalMicros } ?: false

    /**
     * Plans [jobs], which come in the order in which they get room: all anew, or only those without a plan that still holds.
     * The [stages] of pipelines come last, on the room that is left.
     */
    fun plan(
        jobs: List<Job>,
        baseline: Collection<Machine>,
        whole: Boolean,
        bootMicros: (Job) -> Long,
        wallMicros: Long,
        nowMicros: Long,
        closed: (MachineType, Boolean, Job) -> Boolean = { _, _, _ -> false },
        stages: List<WaitingStage> = emptyList(),
        scaleOutPrice: (Job) -> Double = { 1.0 },
    ) {
        val forecast = BaselineForecast(baseline, nowMicros, policy.longIntervalMicros, INTERVALS, runTimes, closed)
        for (job in jobs) {
            val baselineMachines = plans[job.id]
            if (!whole && baselineMachines != null && !isOutdated(job)) {
                baselineMachines.baseline.forEachIndexed { i, tasks ->
                    forecast.reserve(job, i, tasks / JobPlan.slots(baselineMachines.intervalMicros, baselineMachines.taskMicros))
                }
                continue
            }
            val due = deadlineWallMicros(job) - wallMicros
            plans[job.id] = planJob(job, forecast, due, bootMicros(job), nowMicros)
        }
        planStages(stages, forecast, bootMicros, scaleOutPrice, wallMicros, nowMicros)
    }

    /** Plans the known stages of pipelines in the paper's order; a stage gets about the throughput of its neighbour. */
    private fun planStages(
        stages: List<WaitingStage>,
        forecast: BaselineForecast,
        bootMicros: (Job) -> Long,
        scaleOutPrice: (Job) -> Double,
        wallMicros: Long,
        nowMicros: Long,
    ) {
        val stagePlanner = StagePlanner(forecast, runTimes, policy.longIntervalMicros, INTERVALS, nowMicros)
        fun plan(stage: WaitingStage, neighbour: JobPlan?, isReserved: Boolean): JobPlan {
            val deadlineWallMicros = deadlineWallMicros(stage.job)
            return stagePlanner.plan(
                stage,
                neighbour,
                bootMicros(stage.job),
                deadlineWallMicros,
                deadlineWallMicros - wallMicros,
                isReserved,
            )
        }
        val costs = stages.associateWith { stage ->
            val alone = plan(stage, neighbour = null, isReserved = false)
            alone.scaleOut.sum() * alone.taskMicros * stage.job.spec.vcpus * scaleOutPrice(stage.job)
        }
        for (ordered in costliestFirst(stages, costs::getValue)) {
            val neighbour = ordered.neighbour?.let { plans[it.job.id] }
            plans[ordered.stage.job.id] = plan(ordered.stage, neighbour, isReserved = true)
        }
    }

    /** Its own deadline, or the end of its window in a pipeline. */
    fun deadlineWallMicros(job: Job): Long {
        val own = job.spec.deadlineMicros?.let { job.acceptedWallMicros + it } ?: (job.readyWallMicros + impliedDeadlineMicros(job))
        return minOf(own, job.neededByWallMicros ?: own)
    }

    /** A job without a deadline is planned as if due when the users' aims for its job class say. */
    private fun impliedDeadlineMicros(job: Job): Long {
        val finished = finishedWithin[job.spec.jobClass]
        val byWait = startedWithin[job.spec.jobClass]?.let { it + job.spec.estimatedRunMicros }
        return listOfNotNull(finished, byWait).minOrNull() ?: (job.spec.estimatedRunMicros * IMPLIED_RUNS)
    }

    private fun planJob(job: Job, forecast: BaselineForecast, deadlineMicros: Long, bootMicros: Long, nowMicros: Long): JobPlan {
        val task = runTimes.estimateMicros(job)
        val interval = policy.longIntervalMicros
        // Tasks that already run are not planned again.
        val toStart = (job.spec.taskCount - job.doneCount - job.placements.count { !it.isAssigned }).coerceAtLeast(0)
        val baseline = DoubleArray(INTERVALS)
        val scaleOut = DoubleArray(INTERVALS)
        // Slots that end after the deadline are of no use; one is left to a job that is late already.
        val usable = (0 until INTERVALS).takeWhile { it == 0 || it * interval + task <= deadlineMicros }
        val span = { i: Int -> minOf(interval, maxOf(deadlineMicros - i * interval, task)) }
        val throughput = DoubleArray(INTERVALS) { i ->
            if (i in usable) forecast.freeSlots(job, i) * JobPlan.slots(span(i), task) else 0.0
        }
        val total = throughput.sum()
        val tasks = toStart.toDouble()
        if (job.spec.isGang) {
            return planGang(job, forecast, tasks, task, nowMicros)
        }
        for (i in usable) {
            baseline[i] = if (total > 0) minOf(tasks * throughput[i] / total, throughput[i]) else 0.0
            forecast.reserve(job, i, baseline[i] / JobPlan.slots(span(i), task))
        }
        val topUpTasks = shortfall(job, nowMicros)
        val scaleOutTasks = (tasks - baseline.sum() + topUpTasks).coerceIn(0.0, tasks)
        levelIntervals(usable, baseline, scaleOut, scaleOutTasks)
        val scaleOutSpan = scaleOutSpanMicros(deadlineMicros - bootMicros, task)
        val scaleOutSlots = scaleOutTasks / Math.floor(scaleOutSpan.toDouble() / task).coerceAtLeast(1.0)
        val firstSlots = baseline[0] / JobPlan.slots(span(0), task)
        val backupSlots = (firstSlots - forecast.freeSlotsNow(job)).coerceAtLeast(0.0)
        return JobPlan(
            nowMicros, interval, task, baseline, scaleOut, scaleOutSlots, backupSlots, job.doneCount, topUpTasks,
            deadlineWallMicros(
                job,
            ),
        )
    }

    /**
     * Over which time rented machines work on a job, given what its deadline leaves of it after a boot.
     *
     * No longer than [JobPlan.maxScaleOutSpanMicros]: machines are paid by the second, so that a longer span saves
     * nothing, and work put off to its deadline leaves no time for what comes later. What no rented machine can end in
     * time is not worth one for each task: it gets the whole span.
     */
    private fun scaleOutSpanMicros(leftMicros: Long, taskMicros: Long): Long {
        val longest = JobPlan.maxScaleOutSpanMicros(policy.longIntervalMicros, taskMicros)
        return if (leftMicros < taskMicros) longest else minOf(leftMicros, longest)
    }

    /** A gang is planned whole, in the first interval, on the side that has room for it. */
    private fun planGang(job: Job, forecast: BaselineForecast, tasks: Double, task: Long, nowMicros: Long): JobPlan {
        val baseline = DoubleArray(INTERVALS)
        val scaleOut = DoubleArray(INTERVALS)
        val fits = forecast.freeSlots(job, 0) >= tasks
        if (fits) {
            baseline[0] = tasks
            forecast.reserve(job, 0, tasks)
        } else {
            scaleOut[0] = tasks
        }
        val backupSlots = if (fits && forecast.freeSlotsNow(job) < tasks) tasks else 0.0
        val interval = policy.longIntervalMicros
        return JobPlan(nowMicros, interval, task, baseline, scaleOut, scaleOut[0], backupSlots, job.doneCount, 0.0, deadlineWallMicros(job))
    }

    /** Rented throughput goes first where owned throughput is least, so that the sum is even. */
    private fun levelIntervals(usable: List<Int>, baseline: DoubleArray, scaleOut: DoubleArray, scaleOutTasks: Double) {
        if (usable.isEmpty() || scaleOutTasks <= 0) return
        var left = scaleOutTasks
        val byBaseline = usable.sortedBy { baseline[it] }
        for ((count, i) in byBaseline.withIndex()) {
            val level = if (count + 1 < byBaseline.size) baseline[byBaseline[count + 1]] else Double.MAX_VALUE
            val raised = byBaseline.subList(0, count + 1)
            val each = minOf(level - baseline[i] - scaleOut[i], left / raised.size)
            raised.forEach { scaleOut[it] += each }
            left -= each * raised.size
            if (left <= 0) return
        }
    }

    private fun shortfall(job: Job, nowMicros: Long): Double {
        val last = plans[job.id] ?: return 0.0
        return (last.dueBy(nowMicros) - (job.doneCount - last.completedWhenPlanned)).coerceAtLeast(0.0)
    }

    /** What is to be rented now: planned rented room, and backups as far as owned room was not granted yet. */
    fun scaleOutDemands(jobs: List<Job>, isBaseline: (Machine) -> Boolean, nowMicros: Long): List<ScaleOutDemand> = jobs.mapNotNull { job ->
        val plan = plans[job.id] ?: return@mapNotNull null
        val granted = job.placements.count { !it.isAssigned && isBaseline(it.machine) }
        val backupSlots = minOf(plan.backupSlots, (plan.baselineSlots(nowMicros) - granted).coerceAtLeast(0.0))
        val running = job.placements.count { !it.isAssigned && !isBaseline(it.machine) }
        // What the plan rents for runs out as tasks are done; a task running on a rented machine keeps its place.
        val slots = maxOf(plan.scaleOutSlots + backupSlots, running.toDouble())
        val remaining = (job.spec.taskCount - job.doneCount - granted).toDouble()
        ScaleOutDemand(job, minOf(slots, remaining).coerceAtLeast(0.0))
    }

    private companion object {
        const val INTERVALS = 10
        const val IMPLIED_RUNS = 3
    }
}
