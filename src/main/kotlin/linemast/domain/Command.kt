package linemast.domain

/** A command of the leader to a worker. Commands travel only in responses to heartbeats. */
sealed interface Command {
    /** The task that the command is about. */
    val task: TaskId

    /** Number of the attempt that is started, stopped or forgotten; see [TaskAttempt]. */
    val attempt: Long

    /** Start an attempt of the task. */
    class Start(override val task: TaskId, override val attempt: Long) : Command

    /** Stop the attempt, which may write a checkpoint within [gracePeriodMicros]. */
    class Stop(override val task: TaskId, override val attempt: Long, val gracePeriodMicros: Long) : Command

    /** Forget the ended attempt: its result is stored, or not needed. */
    class Acknowledge(override val task: TaskId, override val attempt: Long) : Command
}
