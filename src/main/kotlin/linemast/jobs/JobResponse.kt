package linemast.jobs

import linemast.domain.JobProgress

/** State of a job in responses to users. */
enum class JobState {
    /** The job is accepted, and none of its tasks is running. */
    PENDING,

    /** At least one task of the job is running. */
    RUNNING,

    /** All tasks of the job have run to completion. */
    DONE,

    /** The job is cancelled; some of its tasks may still be stopping. */
    CANCELLED,
}

/** Result of a user's request; [JobResponseCodec] encodes it as an HTTP response. */
internal sealed interface JobResponse {
    /** Id of the job that the response reports as cancelled; null if it reports no cancellation. */
    val cancelledJobId: String? get() = null

    /** This request submitted the job, and the job was accepted. */
    data class Accepted(val id: String, val state: JobState) : JobResponse {
        override val cancelledJobId get() = id.takeIf { state == JobState.CANCELLED }
    }

    /** State of a job that was accepted before, with counts of its tasks for display. */
    data class Status(val id: String, val state: JobState, val progress: JobProgress) : JobResponse {
        override val cancelledJobId get() = id.takeIf { state == JobState.CANCELLED }
    }

    /** The submission is rejected and can never be accepted. */
    data class Rejected(val reason: String) : JobResponse

    /** The submission exceeds the current share of its flow and may be repeated after [retryAfterSeconds]. */
    data class Deferred(val retryAfterSeconds: Int) : JobResponse

    /** No job with this id was ever accepted. */
    data object NotFound : JobResponse

    /**
     * The request cannot be completed now, for example because the store is unavailable or because the machine types that a
     * submission is checked against have not been read yet.
     */
    data object Unavailable : JobResponse
}
