package linemast.planning

/** The number of tasks that a job is to complete in each long interval, on baseline and on scaled-out machines. */
internal class IntervalTargets(val baseline: DoubleArray, val scaleOut: DoubleArray)

/**
 * The progress of a job when it was planned.
 *
 * @property completedTasks number of tasks that were completed.
 * @property shortfall how many more tasks the previous plan expected to be completed by then.
 */
internal class PlannedProgress(val completedTasks: Int, val shortfall: Double)

/**
 * The plan of one job: its targets in each long interval, and the slots to scale out for them. A slot is capacity for one task
 * at a time.
 *
 * @property horizon the intervals that the plan covers.
 * @property taskMicros estimated run time of a task.
 * @property scaleOutSlots number of tasks that scaled-out machines must be able to run concurrently.
 * @property backupSlots number of slots planned on baseline machines that were not free yet when the plan was made.
 * @property deadlineWallMicros when the job has to end, in wall time, as known when the plan was made.
 * @property spanMicros how long the job runs by this plan once it may start; null for a job that could start when it was planned.
 */
class JobPlan internal constructor(
    private val horizon: PlanningHorizon,
    val taskMicros: Long,
    private val targets: IntervalTargets,
    val scaleOutSlots: Double,
    val backupSlots: Double,
    private val progress: PlannedProgress,
    val deadlineWallMicros: Long,
    val spanMicros: Long? = null,
) {
    /** Number of tasks to complete on baseline machines, by interval. */
    val baseline: DoubleArray get() = targets.baseline

    /** Number of tasks to complete on scaled-out machines, by interval. */
    val scaleOut: DoubleArray get() = targets.scaleOut

    /** Number of tasks by which the job was behind its previous plan when this plan was made. */
    val topUpTasks: Double get() = progress.shortfall

    /** Returns how many more tasks than [completedTasks] this plan expects to be completed by [nowMicros]. */
    fun shortfall(completedTasks: Int, nowMicros: Long): Double =
        (tasksExpectedBy(nowMicros) - (completedTasks - progress.completedTasks)).coerceAtLeast(0.0)

    /** Returns how many tasks this plan expects to be completed from its start to [nowMicros]. */
    private fun tasksExpectedBy(nowMicros: Long): Double {
        val elapsedIntervals = (nowMicros - horizon.startMicros).toDouble() / horizon.intervalMicros
        return baseline.indices.sumOf { i -> (baseline[i] + scaleOut[i]) * (elapsedIntervals - i).coerceIn(0.0, 1.0) }
    }

    /** Returns how many concurrent tasks are planned on baseline machines in the interval that contains [nowMicros]. */
    fun baselineSlots(nowMicros: Long): Double {
        val interval = ((nowMicros - horizon.startMicros) / horizon.intervalMicros).toInt()
        if (interval !in baseline.indices) return 0.0
        return slotsInInterval(interval)
    }

    /** Returns how many concurrent tasks are planned on baseline machines in [interval]. */
    internal fun slotsInInterval(interval: Int): Double = baseline[interval] / tasksPerSlot(horizon.intervalMicros, taskMicros)

    internal companion object {
        private const val MIN_TASKS_PER_SLOT = 0.05
        private const val MAX_SCALE_OUT_INTERVALS = 2L

        /** Returns how many tasks of [taskMicros] each one slot runs, one after another, in [spanMicros]. */
        fun tasksPerSlot(spanMicros: Long, taskMicros: Long): Double =
            (spanMicros.toDouble() / taskMicros).coerceAtLeast(MIN_TASKS_PER_SLOT)

        /** Returns how many whole tasks one slot runs in [spanMicros]; 1 if [spanMicros] is shorter than a task. */
        fun wholeTasksPerSlot(spanMicros: Long, taskMicros: Long): Double =
            Math.floor(spanMicros.toDouble() / taskMicros).coerceAtLeast(1.0)

        /**
         * Returns the longest time over which scaled-out machines are planned to work on one job: [MAX_SCALE_OUT_INTERVALS] long
         * intervals, or the run time of a task if that is longer.
         */
        fun maxScaleOutSpanMicros(intervalMicros: Long, taskMicros: Long): Long =
            maxOf(MAX_SCALE_OUT_INTERVALS * intervalMicros, taskMicros)
    }
}
