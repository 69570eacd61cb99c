package linemast.jobs

import linemast.domain.JobProgress

/** The state of a job as users see it. */
enum class JobState {
    /** Accepted, and no task of it runs. */
    PENDING,

    /** At least one task of it runs. */
    RUNNING,

    /** All its tasks have run to completion. */
    DONE,

    /** It was cancelled; tasks of it may still be ending. */
    CANCELLED,
}

/** The result of a user's request; [JobResponseCodec] turns it into an HTTP response. */
internal sealed interface JobResponse {
    /** A submission was accepted by this request. */
    data class Accepted(val id: String, val state: JobState) : JobResponse

    /** The state of a job that was accepted before, with counts of its tasks for display. */
    data class Status(val id: String, val state: JobState, val progress: JobProgress) : JobResponse

    /** The submission can never be accepted. */
    data class Rejected(val reason: String) : JobResponse

    /** The submission exceeds the present share of its flow and may be repeated after [retryAfterSeconds]. */
    data class Deferred(val retryAfterSeconds: Int) : JobResponse

    /** No such job was ever accepted. */
    data object NotFound : JobResponse

    /** The store, or the machine types that a submission is checked against, cannot be read now. */
    data object Unavailable : JobResponse
}
