package linemast.planning

import linemast.domain.Job
import linemast.domain.JobSpec

/**
 * Estimates run times of tasks: the owners' estimates, corrected by the measured run times of completed tasks.
 *
 * Owners' estimates for one job class are often wrong in the same direction, so each job class has a smoothed ratio of measured
 * to estimated run time. Once a few tasks of a job are completed, their average run time is used instead, as it is more accurate.
 */
class RunTimeEstimates {
    private val ratioByJobClass = HashMap<String, Double>()

    /** Records that a task of [spec] ran for [measuredMicros]. */
    fun recordFinished(spec: JobSpec, measuredMicros: Long) {
        if (spec.estimatedRunMicros <= 0) return
        val ratio = (measuredMicros.toDouble() / spec.estimatedRunMicros).coerceIn(MIN_RATIO, MAX_RATIO)
        // The tasks of one job are alike, so all of them together weigh little more than a single task.
        val weight = SMOOTHING / minOf(spec.taskCount, MAX_WEIGHED_TASKS)
        ratioByJobClass.merge(spec.jobClass, ratio) { old, new -> old + (new - old) * weight }
    }

    /** Returns the estimated run time of a task of [job], from the job's completed tasks if there are enough. */
    fun estimateMicros(job: Job): Long {
        if (job.runTimes.taskCount >= MIN_MEASURED_TASKS) return job.runTimes.averageMicros
        return estimateMicros(job.spec)
    }

    /** Returns the estimated run time of a task of a job that has not started. */
    fun estimateMicros(spec: JobSpec): Long = (spec.estimatedRunMicros * (ratioByJobClass[spec.jobClass] ?: 1.0)).toLong().coerceAtLeast(1)

    private companion object {
        const val SMOOTHING = 0.3
        const val MAX_WEIGHED_TASKS = 20
        const val MIN_MEASURED_TASKS = 4
        const val MIN_RATIO = 0.2
        const val MAX_RATIO = 5.0
    }
}
