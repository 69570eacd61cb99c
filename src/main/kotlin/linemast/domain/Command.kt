package linemast.domain

/** A command of the leader to a worker. The leader sends commands only in its responses to heartbeats. */
sealed interface Command {
    /** The task that the command applies to. */
    val task: TaskId

    /** Number of the attempt that is started, stopped or acknowledged; see [TaskAttempt]. */
    val attempt: Long

    /** Starts an attempt of the task. */
    class Start(override val task: TaskId, override val attempt: Long) : Command

    /** Stops the attempt, which may write a checkpoint within [gracePeriodMicros]. */
    class Stop(override val task: TaskId, override val attempt: Long, val gracePeriodMicros: Long) : Command

    /** Acknowledges an ended attempt, so that the worker discards it: its result is stored, or is not needed. */
    class Acknowledge(override val task: TaskId, override val attempt: Long) : Command
}
