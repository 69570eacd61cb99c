package linemast.planning

import linemast.domain.Job
import linemast.settings.Objective
import linemast.settings.shortestFinishedMicros
import linemast.settings.shortestWaitMicros

/** Computes when jobs have to end: by their own deadlines, by those of dependent jobs, or by service-level objectives. */
internal class JobDeadlines(objectives: List<Objective>) {
    private val shortestFinishedMicros = objectives.shortestFinishedMicros()
    private val shortestWaitMicros = objectives.shortestWaitMicros()

    /** Returns the deadline of [job] in wall time: its own or an implied one, or the end of its window in a pipeline if that is earlier. */
    fun wallMicros(job: Job): Long {
        val own = job.spec.deadlineMicros?.let { job.acceptedWallMicros + it } ?: (job.readyWallMicros + impliedMicros(job))
        return minOf(own, job.requiredEndWallMicros ?: own)
    }

    /**
     * Returns how long after it is ready a job without a deadline is planned to end: the strictest time that the objectives for
     * its job class give, or [IMPLIED_RUNS] times the estimated run time of the job if there are none.
     */
    private fun impliedMicros(job: Job): Long {
        val byFinished = shortestFinishedMicros[job.spec.jobClass]
        val byWait = shortestWaitMicros[job.spec.jobClass]?.let { it + job.spec.estimatedRunMicros }
        return listOfNotNull(byFinished, byWait).minOrNull() ?: (job.spec.estimatedRunMicros * IMPLIED_RUNS)
    }

    private companion object {
        /** A job with neither a deadline nor an objective is planned to end within this many times its estimated run time. */
        const val IMPLIED_RUNS = 3
    }
}
