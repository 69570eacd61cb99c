package linemast.jobs

import linemast.domain.JobOutcome
import linemast.domain.JobProgress
import linemast.domain.OutcomeRecord

/** Derives the status for users from a job's stored outcome and the progress that the leader has published. */
internal class JobStatusReporter(private val progress: ProgressSource) {
    /** Returns the status of the job with [id], whose outcome is [record]. */
    suspend fun status(id: String, record: OutcomeRecord): JobResponse.Status {
        val published = progress.progressOf(id)
        val isRunning = published != null && published.running > 0
        val state = when (record.outcome) {
            JobOutcome.DONE -> JobState.DONE
            JobOutcome.CANCELLED -> JobState.CANCELLED
            JobOutcome.OPEN -> if (isRunning) JobState.RUNNING else JobState.PENDING
        }
        val completed = if (record.outcome == JobOutcome.DONE) record.taskCount else published?.completed ?: 0
        val running = if (record.outcome == JobOutcome.OPEN) published?.running ?: 0 else 0
        return JobResponse.Status(id, state, JobProgress(completed, running))
    }
}
