package linemast.planning

/**
 * Plans a stage of a pipeline before it may start: within the window from the end of the last job that it depends on to the
 * time at which it has to end for the jobs that depend on it.
 *
 * The plan only determines the scale-out: it places no tasks, and jobs that may start are planned before the stage.
 */
internal class StagePlanner(
    private val forecast: BaselineForecast,
    private val runTimes: RunTimeEstimates,
    private val horizon: PlanningHorizon,
) {
    /** The window in which a stage runs, relative to now, and the estimated run time of its tasks. */
    private class Window(val startMicros: Long, val endMicros: Long, val taskMicros: Long)

    /**
     * Returns a plan for [stage], which has to end by [deadline]. If [reserve] is set, reserves its baseline capacity, so that
     * stages planned afterwards cannot use it.
     *
     * [neighbour] is the plan of an adjacent stage of the pipeline. [stage] gets about the same throughput, measured as the share
     * of a stage's tasks completed per unit of time, but never less than its own window requires. [startupMicros] is the startup
     * time of a machine for the stage; machines that are scaled out now run no tasks for that long.
     */
    fun plan(stage: BlockedStage, neighbour: JobPlan?, startupMicros: Long, deadline: Deadline, reserve: Boolean): JobPlan {
        val taskMicros = runTimes.estimateMicros(stage.job)
        val window = Window(stage.startsInMicros, maxOf(deadline.remainingMicros, stage.startsInMicros + taskMicros), taskMicros)
        val tasks = stage.job.spec.taskCount.toDouble()
        val baseline = baselineTargets(stage, tasks, window)
        if (reserve) reserveBaseline(stage, baseline, window)
        val scaleOutTasks = (tasks - baseline.sum()).coerceAtLeast(0.0)
        val tasksPerSlot = JobPlan.wholeTasksPerSlot(scaleOutSpanMicros(window, startupMicros, neighbour), taskMicros)
        return JobPlan(
            horizon,
            taskMicros,
            IntervalTargets(baseline, scaleOutTargets(stage, scaleOutTasks)),
            scaleOutSlots = scaleOutTasks / tasksPerSlot,
            backupSlots = 0.0,
            PlannedProgress(completedTasks = 0, shortfall = 0.0),
            deadline.wallMicros,
            spanMicros = (tasksPerSlot * taskMicros).toLong(),
        )
    }

    /**
     * Returns the baseline targets of [stage] by interval. A gang is planned as a whole: on baseline machines if they have capacity
     * for all its tasks, otherwise scaled out.
     */
    private fun baselineTargets(stage: BlockedStage, tasks: Double, window: Window): DoubleArray {
        val throughput = DoubleArray(horizon.intervals) { i -> throughput(stage, window, i) }
        val totalThroughput = throughput.sum()
        if (stage.job.spec.isGang && totalThroughput < tasks) return DoubleArray(horizon.intervals)
        return DoubleArray(horizon.intervals) { i -> baselineTarget(tasks, throughput[i], totalThroughput) }
    }

    private fun throughput(stage: BlockedStage, window: Window, interval: Int): Double {
        val overlapMicros = overlapMicros(window, interval)
        if (overlapMicros <= 0) return 0.0
        return forecast.freeSlots(stage.job, interval) * JobPlan.tasksPerSlot(overlapMicros, window.taskMicros)
    }

    private fun reserveBaseline(stage: BlockedStage, baseline: DoubleArray, window: Window) {
        for (i in baseline.indices) {
            if (baseline[i] <= 0) continue
            forecast.reserve(stage.job, i, baseline[i] / JobPlan.tasksPerSlot(overlapMicros(window, i), window.taskMicros))
        }
    }

    /** Returns scale-out targets that have all [tasks] in the interval in which [stage] starts. */
    private fun scaleOutTargets(stage: BlockedStage, tasks: Double): DoubleArray {
        val scaleOut = DoubleArray(horizon.intervals)
        scaleOut[(stage.startsInMicros / horizon.intervalMicros).toInt().coerceIn(0, horizon.intervals - 1)] = tasks
        return scaleOut
    }

    /** Returns the time over which scaled-out machines work on a stage: the same as for its neighbour, as far as its window allows. */
    private fun scaleOutSpanMicros(window: Window, startupMicros: Long, neighbour: JobPlan?): Long {
        // Scaled-out machines cannot work on the stage before it starts, nor before they have started up.
        val availableMicros = window.endMicros - maxOf(window.startMicros, startupMicros)
        val longest = when {
            availableMicros < window.taskMicros -> JobPlan.maxScaleOutSpanMicros(horizon.intervalMicros, window.taskMicros)
            else -> availableMicros
        }
        val neighbourSpanMicros = neighbour?.spanMicros ?: longest
        return minOf(longest, maxOf(neighbourSpanMicros, window.taskMicros))
    }

    /** Returns how long [interval] overlaps [window]; 0 or less if it does not. */
    private fun overlapMicros(window: Window, interval: Int): Long = minOf(window.endMicros, (interval + 1) * horizon.intervalMicros) -
        maxOf(window.startMicros, interval * horizon.intervalMicros)
}
