package linemast.domain

/** State of a task as its worker reports it. */
enum class TaskState { FETCHING, WAITING_FOR_GANG, RUNNING, SAVING, ENDED }

/** Why a task has ended. */
enum class EndCause {
    /** It is completed; its result is kept. */
    DONE,

    /** By command. */
    STOPPED,

    /** Another task of its gang is gone. */
    GANG_LOST,

    /** Its gang was not complete in time. */
    GANG_INCOMPLETE,

    /** The task failed, mostly because its machine is faulty. */
    FAILED,

    /** The start was refused: the machine lacks free resources. */
    NO_ROOM,

    /** The start was refused: the task is there with another attempt. */
    BUSY,

    /** The start was refused: the worker finds no such task. */
    UNKNOWN_TASK,

    /** A cause that this version does not know. */
    OTHER,
}

/** A task: job and number. */
data class TaskId(val job: String, val index: Int) {
    override fun toString() = "$job/$index"

    companion object {
        /** Reads the form `job/number`; null if the text has another. */
        fun parse(text: String): TaskId? {
            val job = text.substringBefore('/')
            val index = text.substringAfter('/', "").toIntOrNull() ?: return null
            return if (JobSpec.isId(job) && index >= 0) TaskId(job, index) else null
        }
    }
}

/** One attempt of a task, as it is told apart on its machine. */
data class TaskAttempt(val task: TaskId, val attempt: Long)

/** One task in a worker's report. */
class TaskStatus(val task: TaskId, val attempt: Long, val status: TaskState, val cause: EndCause?, val saved: Boolean) {
    val key = TaskAttempt(task, attempt)
}

/** What a worker says of itself. */
class Heartbeat(
    val machineName: String,
    val addr: String,
    val machineType: String,
    val zone: String,
    val spot: Boolean,
    val incarnation: Long,
    val sequenceNumber: Long,
    val fencingToken: Long,
    val preemptionNoticeMicros: Long?,
    val tasks: List<TaskStatus>,
)

/** A command to a worker; they travel only in the answer to a report. */
sealed interface Command {
    val task: TaskId
    val attempt: Long

    /** Start the task. */
    class Start(override val task: TaskId, override val attempt: Long) : Command

    /** Stop the task, which may save its progress within the grace period. */
    class Stop(override val task: TaskId, override val attempt: Long, val gracePeriodMicros: Long) : Command

    /** Forget the ended task: its result is stored. */
    class Acknowledge(override val task: TaskId, override val attempt: Long) : Command
}
