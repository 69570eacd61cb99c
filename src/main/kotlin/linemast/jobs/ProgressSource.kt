package linemast.jobs

import linemast.domain.JobProgress

/** Supplies the progress of jobs for display, as the leader last published it. */
fun interface ProgressSource {
    /** Done and running tasks of the job with [id]; null when nothing is known. */
    fun progressOf(id: String): JobProgress?
}
