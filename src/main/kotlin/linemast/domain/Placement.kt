package linemast.domain

/**
 * A task attempt that is assigned to a machine or may be on it, as far as the leader knows.
 *
 * A placement counts against the machine's capacity and the team's quota from the assignment until the task has certainly
 * ended.
 */
class Placement(
    /** Machine that the task is assigned to, or whose worker has reported the task. */
    val machine: Machine,
    /** The task, which may have placements of several attempts. */
    val task: TaskId,
    /** Number of the attempt; see [TaskAttempt]. */
    val attempt: Long,
    /** The job of the task; null if the leader does not know the job. */
    val job: Job?,
) {
    /** State of the task on its machine, as far as the leader knows. */
    enum class Phase {
        /** The scheduler has assigned the task. No command was sent, so the assignment may be removed at any time. */
        ASSIGNED,

        /** A start was sent in a response, and no heartbeat has confirmed it. */
        SENT,

        /** The worker fetches the image. */
        FETCHING,

        /** The task is ready and waits for the other tasks of its gang. */
        WAITING_FOR_GANG,

        /** The task is running. */
        RUNNING,

        /** The task was stopped and writes its last checkpoint, or the task has ended and its placement is about to be removed. */
        CHECKPOINTING,
    }

    /** State of the task on its machine; set when commands are sent and heartbeats arrive. */
    var phase = Phase.ASSIGNED

    /** When the start was sent, or when a heartbeat first showed the task; 0 while the task is only assigned. */
    var sentMicros = 0L

    /** When a heartbeat first showed the task running; 0 if none has. */
    var runningSinceMicros = 0L

    /** Why the leader stops the task; null while the leader does not stop it. */
    var stopReason: StopReason? = null

    /** How long the stopped task may take to write a checkpoint. */
    var stopGracePeriodMicros = 0L

    /** Whether a stop of the task was sent to the worker. */
    var isStopSent = false

    /**
     * Whether the task is one of the first tasks of a starving job. These are not preempted, because the job would otherwise
     * never make progress.
     */
    var isExemptFromPreemption = false

    /** The job that the task is preempted for; null if the task is not preempted. */
    var preemptedFor: Job? = null

    /** Identifies the attempt among the placements of the machine. */
    val key = TaskAttempt(task, attempt)

    /** The most bytes that the task takes up in the heartbeats of its machine; see [HeartbeatSize]. */
    val heartbeatEntryBytes: Int = job?.heartbeatEntryBytes ?: HeartbeatSize.maxEntryBytes(key)

    /** Whether no command was sent for the task yet. */
    val isAssigned: Boolean get() = phase == Phase.ASSIGNED

    /** Whether the latest heartbeat showed the task running. */
    val isRunning: Boolean get() = phase == Phase.RUNNING

    /** Whether a heartbeat has shown the task on its machine. */
    val isReported: Boolean get() = phase != Phase.ASSIGNED && phase != Phase.SENT
}
