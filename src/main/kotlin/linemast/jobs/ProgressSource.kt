package linemast.jobs

import linemast.domain.JobProgress

/** Provides the latest progress of jobs that the leader has published, for display only. */
fun interface ProgressSource {
    /** Returns the number of completed and running tasks of the job with [id]; null if no progress is known. */
    suspend fun progressOf(id: String): JobProgress?
}
