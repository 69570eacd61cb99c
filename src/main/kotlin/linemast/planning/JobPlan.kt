package linemast.planning

/** Tasks that a job is to complete in each long interval, on baseline and on scaled-out machines. */
internal class IntervalTargets(val baseline: DoubleArray, val scaleOut: DoubleArray)

/** How far a job was when it was planned: its completed tasks, and how many more its previous plan had expected by then. */
internal class PlannedProgress(val completedTasks: Int, val shortfall: Double)

/**
 * One job's plan: its targets by long interval, and the machines to scale out for them.
 *
 * @property horizon the intervals that the plan covers.
 * @property taskMicros estimated run time of a task.
 * @property scaleOutSlots tasks that scaled-out machines must be able to run concurrently.
 * @property backupSlots slots on baseline machines that were not free yet when the plan was made.
 * @property deadlineWallMicros when the job has to end, as known when the plan was made.
 * @property spanMicros how long the job runs by this plan once it can start; null for a job that could start when planned.
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
    /** Tasks to complete on baseline machines, by interval. */
    val baseline: DoubleArray get() = targets.baseline

    /** Tasks to complete on scaled-out machines, by interval. */
    val scaleOut: DoubleArray get() = targets.scaleOut

    /** Tasks by which the job was behind its previous plan. */
    val topUpTasks: Double get() = progress.shortfall

    /** How many tasks more should have been completed by [nowMicros] than the [completedTasks] that were. */
    fun shortfall(completedTasks: Int, nowMicros: Long): Double =
        (tasksExpectedBy(nowMicros) - (completedTasks - progress.completedTasks)).coerceAtLeast(0.0)

    /** How many tasks should have been completed since the plan was made. */
    private fun tasksExpectedBy(nowMicros: Long): Double {
        val passed = (nowMicros - horizon.startMicros).toDouble() / horizon.intervalMicros
        return baseline.indices.sumOf { i -> (baseline[i] + scaleOut[i]) * (passed - i).coerceIn(0.0, 1.0) }
    }

    /** Concurrent tasks planned on baseline machines in the interval of [nowMicros]. */
    fun baselineSlots(nowMicros: Long): Double {
        val interval = ((nowMicros - horizon.startMicros) / horizon.intervalMicros).toInt()
        if (interval !in baseline.indices) return 0.0
        return slotsInInterval(interval)
    }

    /** Concurrent tasks planned on baseline machines in interval [interval]. */
    internal fun slotsInInterval(interval: Int): Double = baseline[interval] / tasksPerSlot(horizon.intervalMicros, taskMicros)

    internal companion object {
        private const val MIN_TASKS_PER_SLOT = 0.05
        private const val MAX_SCALE_OUT_INTERVALS = 2L

        /** How many tasks of [taskMicros] each one slot runs, one after another, in [spanMicros]. */
        fun tasksPerSlot(spanMicros: Long, taskMicros: Long): Double =
            (spanMicros.toDouble() / taskMicros).coerceAtLeast(MIN_TASKS_PER_SLOT)

        /** How many whole tasks one slot runs in [spanMicros]; at least one, however short that is. */
        fun wholeTasksPerSlot(spanMicros: Long, taskMicros: Long): Double =
            Math.floor(spanMicros.toDouble() / taskMicros).coerceAtLeast(1.0)

        /** The longest time over which scaled-out machines are planned to work on one job. */
        fun maxScaleOutSpanMicros(intervalMicros: Long, taskMicros: Long): Long =
            maxOf(MAX_SCALE_OUT_INTERVALS * intervalMicros, taskMicros)
    }
}
