package linemast.planning

import linemast.domain.Job

/** When a job has to end: in wall time, and as the time that remains from now. */
internal class Deadline(val wallMicros: Long, val remainingMicros: Long)

/** Plans jobs that may start, on the baseline capacity that the reservations of jobs planned before have left in [forecast]. */
internal class JobPlanner(
    private val forecast: BaselineForecast,
    private val runTimes: RunTimeEstimates,
    private val horizon: PlanningHorizon,
) {
    /**
     * Returns a plan for [job] and reserves its baseline targets in the forecast.
     *
     * @param previous the previous plan of [job]; the tasks by which [job] is behind that plan are scaled out as a top-up.
     * @param startupMicros how long a scaled-out machine takes to start.
     */
    fun plan(job: Job, deadline: Deadline, startupMicros: Long, previous: JobPlan?): JobPlan {
        // Tasks whose start has been sent are not planned again.
        val tasks = (job.spec.taskCount - job.completedCount - job.placements.count { !it.isAssigned }).coerceAtLeast(0).toDouble()
        if (job.spec.isGang) return planGang(job, tasks, deadline)
        val shortfall = previous?.shortfall(job.completedCount, horizon.startMicros) ?: 0.0
        return planArray(job, tasks, shortfall, deadline, startupMicros)
    }

    private fun planArray(job: Job, tasks: Double, shortfall: Double, deadline: Deadline, startupMicros: Long): JobPlan {
        val taskMicros = runTimes.estimateMicros(job)
        val usable = UsableIntervals(horizon, taskMicros, deadline.remainingMicros)
        val baseline = reserveBaseline(job, tasks, usable)
        val scaleOutTasks = (tasks - baseline.sum() + shortfall).coerceIn(0.0, tasks)
        val scaleOutSpanMicros = scaleOutSpanMicros(deadline.remainingMicros - startupMicros, taskMicros)
        val firstSlots = baseline[0] / usable.tasksPerSlot(0)
        return JobPlan(
            horizon,
            taskMicros,
            IntervalTargets(baseline, distributeScaleOutTasks(baseline, usable.indices, scaleOutTasks)),
            scaleOutSlots = scaleOutTasks / JobPlan.wholeTasksPerSlot(scaleOutSpanMicros, taskMicros),
            backupSlots = (firstSlots - forecast.freeSlotsNow(job)).coerceAtLeast(0.0),
            PlannedProgress(job.completedCount, shortfall),
            deadline.wallMicros,
        )
    }

    /** Returns the baseline targets of [job] by interval and reserves them in the forecast. */
    private fun reserveBaseline(job: Job, tasks: Double, usable: UsableIntervals): DoubleArray {
        val throughput = DoubleArray(horizon.intervals) { i ->
            if (i in usable.indices) forecast.freeSlots(job, i) * usable.tasksPerSlot(i) else 0.0
        }
        val totalThroughput = throughput.sum()
        val baseline = DoubleArray(horizon.intervals)
        for (i in usable.indices) {
            baseline[i] = baselineTarget(tasks, throughput[i], totalThroughput)
            forecast.reserve(job, i, baseline[i] / usable.tasksPerSlot(i))
        }
        return baseline
    }

    /**
     * Returns the time over which scaled-out machines work on a job that has [remainingMicros] from the start of a machine to its
     * deadline.
     *
     * The span is at most [JobPlan.maxScaleOutSpanMicros]: machines are paid by the second, so that a longer span saves
     * nothing, and work deferred to its deadline leaves no time for work that arrives later. A job whose tasks cannot finish
     * on a scaled-out machine in time does not justify one machine per task: it gets the maximum span.
     */
    private fun scaleOutSpanMicros(remainingMicros: Long, taskMicros: Long): Long {
        val longest = JobPlan.maxScaleOutSpanMicros(horizon.intervalMicros, taskMicros)
        return if (remainingMicros < taskMicros) longest else minOf(remainingMicros, longest)
    }

    /** Plans a gang as a whole in the first interval: on baseline machines if they have capacity for all its tasks, else scaled out. */
    private fun planGang(job: Job, tasks: Double, deadline: Deadline): JobPlan {
        val baseline = DoubleArray(horizon.intervals)
        val scaleOut = DoubleArray(horizon.intervals)
        val fitsBaseline = forecast.freeSlots(job, 0) >= tasks
        if (fitsBaseline) {
            baseline[0] = tasks
            forecast.reserve(job, 0, tasks)
        } else {
            scaleOut[0] = tasks
        }
        return JobPlan(
            horizon,
            runTimes.estimateMicros(job),
            IntervalTargets(baseline, scaleOut),
            scaleOutSlots = scaleOut[0],
            backupSlots = if (fitsBaseline && forecast.freeSlotsNow(job) < tasks) tasks else 0.0,
            PlannedProgress(job.completedCount, shortfall = 0.0),
            deadline.wallMicros,
        )
    }
}

/**
 * The intervals in which a task of [taskMicros] can finish before the deadline, which is [deadlineMicros] from now. The first
 * interval is always usable, so that a job that is already late has one.
 */
private class UsableIntervals(private val horizon: PlanningHorizon, private val taskMicros: Long, private val deadlineMicros: Long) {
    val indices: List<Int> =
        (0 until horizon.intervals).takeWhile { it == 0 || it * horizon.intervalMicros + taskMicros <= deadlineMicros }

    /** Returns how many tasks one slot runs, one after another, in the part of [interval] before the deadline. */
    fun tasksPerSlot(interval: Int): Double {
        val untilDeadline = deadlineMicros - interval * horizon.intervalMicros
        return JobPlan.tasksPerSlot(minOf(horizon.intervalMicros, maxOf(untilDeadline, taskMicros)), taskMicros)
    }
}

/**
 * Distributes [tasks] over the [usable] intervals as scale-out targets: first to the intervals with the lowest [baseline]
 * targets, so that the sums of both targets become even.
 */
private fun distributeScaleOutTasks(baseline: DoubleArray, usable: List<Int>, tasks: Double): DoubleArray {
    val scaleOut = DoubleArray(baseline.size)
    if (usable.isEmpty() || tasks <= 0) return scaleOut
    var remaining = tasks
    val byBaseline = usable.sortedBy { baseline[it] }
    for ((count, i) in byBaseline.withIndex()) {
        val level = if (count + 1 < byBaseline.size) baseline[byBaseline[count + 1]] else Double.MAX_VALUE
        val raised = byBaseline.subList(0, count + 1)
        val each = minOf(level - baseline[i] - scaleOut[i], remaining / raised.size)
        raised.forEach { scaleOut[it] += each }
        remaining -= each * raised.size
        if (remaining <= 0) break
    }
    return scaleOut
}
