package linemast.domain

/** State of a task in the heartbeats of its worker. */
enum class TaskState {
    /** The worker fetches the image of the task. */
    FETCHING,

    /** The task is ready and waits for the other tasks of its gang. */
    WAITING_FOR_GANG,

    /** The task is running. */
    RUNNING,

    /** The task was stopped and writes its last checkpoint. */
    CHECKPOINTING,

    /** The task has ended; the worker keeps the result of the task until the leader acknowledges the end. */
    ENDED,
}

/** Why a task has ended. */
enum class EndCause {
    /** The task has run to completion; the worker keeps the result. */
    COMPLETED,

    /** The leader stopped it. */
    STOPPED,

    /** Another task of the gang was lost. */
    GANG_LOST,

    /** Not all tasks of the gang were ready in time. */
    GANG_INCOMPLETE,

    /** The task failed because of a fault of the task itself or of its machine. */
    FAILED,

    /** The worker refused the start: the machine lacks free resources. */
    INSUFFICIENT_RESOURCES,

    /** The worker refused the start: the machine holds another attempt of the task. */
    OTHER_ATTEMPT_PRESENT,

    /** The worker refused the start: it finds no such task. */
    UNKNOWN_TASK,

    /** A cause that this version does not know. */
    OTHER,
}

/** Status of one task in a worker's heartbeat. */
class TaskStatus(
    /** The task that the worker holds. */
    val task: TaskId,
    /** Number of the attempt that the worker holds; see [TaskAttempt]. */
    val attempt: Long,
    /** State of the attempt when the heartbeat was sent. */
    val state: TaskState,
    /** Why the task has ended; null while it has not ended. */
    val cause: EndCause?,
    /** Whether the task has written a checkpoint. */
    val hasCheckpoint: Boolean,
) {
    /** Identifies the attempt among all attempts that the machine has held. */
    val key = TaskAttempt(task, attempt)
}
