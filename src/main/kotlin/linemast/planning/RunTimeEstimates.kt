package linemast.planning

import linemast.domain.Job
import linemast.domain.JobSpec

/**
 * Estimates of run times: the owners' estimates, corrected by what finished tasks took.
 *
 * Guesses of a job class are often wrong in the same direction, so each job class has a running ratio of measured to
 * estimated; a job's own finished tasks say more still once there are a few.
 */
class RunTimeEstimates {
    private val ratios = HashMap<String, Double>()

    /** A task of [spec] ran for [measuredMicros]. */
    fun recordFinished(spec: JobSpec, measuredMicros: Long) {
        if (spec.estimatedRunMicros <= 0) return
        val ratio = (measuredMicros.toDouble() / spec.estimatedRunMicros).coerceIn(MIN_RATIO, MAX_RATIO)
        val weight = SMOOTHING / minOf(spec.taskCount, MANY_TASKS)
        ratios.merge(spec.jobClass, ratio) { old, new -> old + (new - old) * weight }
    }

    /** How long a task of [job] runs, by its own finished tasks if there are enough. */
    fun estimateMicros(job: Job): Long {
        if (job.measuredTasks >= ENOUGH_TASKS) return job.measuredMicros / job.measuredTasks
        return estimateMicros(job.spec)
    }

    /** Of a job that has not begun. */
    fun estimateMicros(spec: JobSpec): Long = (spec.estimatedRunMicros * (ratios[spec.jobClass] ?: 1.0)).toLong().coerceAtLeast(1)

    private companion object {
        const val SMOOTHING = 0.3
        const val MANY_TASKS = 20
        const val ENOUGH_TASKS = 4
        const val MIN_RATIO = 0.2
        const val MAX_RATIO = 5.0
    }
}
