package linemast.planning

import linemast.domain.Job
import linemast.settings.Objective
import linemast.settings.shortestFinishedMicros
import linemast.settings.shortestWaitMicros

/** When jobs have to end: by their own deadlines, by what depends on them, or by service-level objectives. */
internal class JobDeadlines(objectives: List<Objective>) {
    private val shortestFinishedMicros = objectives.shortestFinishedMicros()
    private val shortestWaitMicros = objectives.shortestWaitMicros()

    /** The deadline of [job] on the wall clock: its own or an implied one, or the end of its window in a pipeline if that is earlier. */
    fun wallMicros(job: Job): Long {
        val own = job.spec.deadlineMicros?.let { job.acceptedWallMicros + it } ?: (job.readyWallMicros + impliedMicros(job))
        return minOf(own, job.requiredEndWallMicros ?: own)
    }

    /** A job without a deadline is planned as if due when the objectives for its job class say. */
    private fun impliedMicros(job: Job): Long {
        val byFinished = shortestFinishedMicros[job.spec.jobClass]
        val byWait = shortestWaitMicros[job.spec.jobClass]?.let { it + job.spec.estimatedRunMicros }
        return listOfNotNull(byFinished, byWait).minOrNull() ?: (job.spec.estimatedRunMicros * IMPLIED_RUNS)
    }

    private companion object {
        /** Without an objective either, a job is due after so many times its estimated run time. */
        const val IMPLIED_RUNS = 3
    }
}
