package linemast.planning

/**
 * Plans a stage of a pipeline before it may start: within the window from the end of the last job that it needs to the time
 * at which it has to end for the jobs that need it.
 *
 * The plan only tells what to rent: nothing of it is placed, and jobs that may start are planned before it.
 */
internal class StagePlanner(
    private val forecast: BaselineForecast,
    private val runTimes: RunTimeEstimates,
    private val intervalMicros: Long,
    private val intervals: Int,
    private val nowMicros: Long,
) {
    /**
     * The plan of [stage], which has to end in [deadlineMicros]. With [isReserved], later stages find its owned room taken.
     *
     * [neighbour] is the plan of a stage next to it in its pipeline: this one is given about the same throughput, as shares of
     * all tasks of the stage in a time, but never less than its own window asks for.
     */
    fun plan(
        stage: WaitingStage,
        neighbour: JobPlan?,
        bootMicros: Long,
        deadlineWallMicros: Long,
        deadlineMicros: Long,
        isReserved: Boolean,
    ): JobPlan {
        val job = stage.job
        val task = runTimes.estimateMicros(job)
        val tasks = job.spec.taskCount.toDouble()
        val end = maxOf(deadlineMicros, stage.startsInMicros + task)
        val throughput = throughput(stage, end, task)
        val total = throughput.sum()
        val baseline = DoubleArray(intervals) { i -> baselineTarget(stage, tasks, throughput[i], total) }
        if (isReserved) {
            for (i in 0 until intervals) {
                if (baseline[i] > 0) forecast.reserve(job, i, baseline[i] / JobPlan.slots(overlapMicros(stage, end, i), task))
            }
        }
        val scaleOutTasks = (tasks - baseline.sum()).coerceAtLeast(0.0)
        val window = end - maxOf(stage.startsInMicros, bootMicros)
        val span = if (window < task) JobPlan.maxScaleOutSpanMicros(intervalMicros, task) else window
        val neighbourSpan = neighbour?.spanMicros?.takeIf { it > 0 } ?: span
        val usedSpan = minOf(span, maxOf(neighbourSpan, task))
        val rounds = Math.floor(usedSpan.toDouble() / task).coerceAtLeast(1.0)
        val scaleOut = DoubleArray(intervals)
        scaleOut[(stage.startsInMicros / intervalMicros).toInt().coerceIn(0, intervals - 1)] = scaleOutTasks
        return JobPlan(
            nowMicros, intervalMicros, task, baseline, scaleOut, scaleOutSlots = scaleOutTasks / rounds, backupSlots = 0.0, completedWhenPlanned = 0, topUpTasks = 0.0,
            deadlineWallMicros, spanMicros = (rounds * task).toLong(),
        )
    }

    /** The paper's owned target; a gang is planned whole, on the side that has room for all of it. */
    private fun baselineTarget(stage: WaitingStage, tasks: Double, throughput: Double, total: Double): Double = when {
        total <= 0 -> 0.0
        stage.job.spec.isGang && total < tasks -> 0.0
        else -> minOf(tasks * throughput / total, throughput)
    }

    private fun throughput(stage: WaitingStage, end: Long, task: Long) = DoubleArray(intervals) { i ->
        val overlap = overlapMicros(stage, end, i)
        if (overlap <= 0) 0.0 else forecast.freeSlots(stage.job, i) * JobPlan.slots(overlap, task)
    }

    /** The part of interval [i] that lies in the window of [stage]. */
    private fun overlapMicros(stage: WaitingStage, end: Long, i: Int): Long =
        minOf(end, (i + 1) * intervalMicros) - maxOf(stage.startsInMicros, i * intervalMicros)
}
