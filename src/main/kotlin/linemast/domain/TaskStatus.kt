package linemast.domain

/** State of a task as its worker reports it. */
enum class TaskState {
    /** The worker fetches the task's image. */
    FETCHING,

    /** The task is ready and waits for the other tasks of its gang. */
    WAITING_FOR_GANG,

    /** The task runs. */
    RUNNING,

    /** The task was stopped and writes its last checkpoint. */
    CHECKPOINTING,

    /** The task has ended; the worker keeps its result until the end is acknowledged. */
    ENDED,
}

/** Why a task has ended. */
enum class EndCause {
    /** The task ran to completion; the worker keeps its result. */
    COMPLETED,

    /** The leader stopped it. */
    STOPPED,

    /** Another task of its gang was lost. */
    GANG_LOST,

    /** Its gang was not complete in time. */
    GANG_INCOMPLETE,

    /** The task failed, by its own fault or by that of its machine. */
    FAILED,

    /** The start was refused: the machine lacks free resources. */
    INSUFFICIENT_RESOURCES,

    /** The start was refused: the machine holds another attempt of the task. */
    OTHER_ATTEMPT_PRESENT,

    /** The start was refused: the worker finds no such task. */
    UNKNOWN_TASK,

    /** A cause that this version does not know. */
    OTHER,
}

/** Status of one task in a worker's heartbeat. */
class TaskStatus(
    /** The task that the worker holds. */
    val task: TaskId,
    /** Number of the attempt that it holds; see [TaskAttempt]. */
    val attempt: Long,
    /** State of the attempt when the heartbeat was sent. */
    val state: TaskState,
    /** Why the task has ended; null while it has not. */
    val cause: EndCause?,
    /** Whether the task has written a checkpoint. */
    val hasCheckpoint: Boolean,
) {
    /** Identifies the attempt among all that the machine has held. */
    val key = TaskAttempt(task, attempt)
}
