package linemast.planning

import linemast.domain.Job
import linemast.domain.JobSpec

/**
 * Estimates of run times: the owners' estimates, corrected by what finished tasks took.
 *
 * Estimates of a job class are often wrong in the same direction, so each job class has a smoothed ratio of measured to
 * estimated; a job's own finished tasks say more still once there are a few.
 */
class RunTimeEstimates {
    private val ratioByJobClass = HashMap<String, Double>()

    /** A task of [spec] ran for [measuredMicros]. */
    fun recordFinished(spec: JobSpec, measuredMicros: Long) {
        if (spec.estimatedRunMicros <= 0) return
        val ratio = (measuredMicros.toDouble() / spec.estimatedRunMicros).coerceIn(MIN_RATIO, MAX_RATIO)
        // The tasks of one job are alike: together they weigh little more than one.
        val weight = SMOOTHING / minOf(spec.taskCount, MAX_WEIGHED_TASKS)
        ratioByJobClass.merge(spec.jobClass, ratio) { old, new -> old + (new - old) * weight }
    }

    /** How long a task of [job] runs, by its own finished tasks if there are enough. */
    fun estimateMicros(job: Job): Long {
        if (job.runTimes.taskCount >= MIN_MEASURED_TASKS) return job.runTimes.averageMicros
        return estimateMicros(job.spec)
    }

    /** How long a task of a job that has not begun runs. */
    fun estimateMicros(spec: JobSpec): Long = (spec.estimatedRunMicros * (ratioByJobClass[spec.jobClass] ?: 1.0)).toLong().coerceAtLeast(1)

    private companion object {
        const val SMOOTHING = 0.3
        const val MAX_WEIGHED_TASKS = 20
        const val MIN_MEASURED_TASKS = 4
        const val MIN_RATIO = 0.2
        const val MAX_RATIO = 5.0
    }
}
