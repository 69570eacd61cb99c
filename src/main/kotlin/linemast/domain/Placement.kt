package linemast.domain

/**
 * A task attempt that may be on a machine, as far as the leader knows.
 *
 * It counts against the machine's capacity and its team's quota from its assignment until its task has surely ended.
 */
class Placement(
    /** Machine that the task was assigned to, or was reported by. */
    val machine: Machine,
    /** The task, of which there may be placements of several attempts. */
    val task: TaskId,
    /** Number of the attempt; see [TaskAttempt]. */
    val attempt: Long,
    /** Null for a task of a job that the leader does not know. */
    val job: Job?,
) {
    /** What is known of the task on its machine. */
    enum class Phase {
        /** Assigned by the scheduler. No command has left, so the assignment may be dropped at any time. */
        ASSIGNED,

        /** A start has left in a response, and no heartbeat has confirmed it. */
        SENT,

        /** Its worker fetches the image. */
        FETCHING,

        /** The task is ready and waits for the other tasks of its gang. */
        WAITING_FOR_GANG,

        /** The task runs. */
        RUNNING,

        /** The task was stopped and writes its last checkpoint, or it has ended and is about to be removed. */
        CHECKPOINTING,
    }

    /** What is known of the task on its machine; set as commands leave and heartbeats come. */
    var phase = Phase.ASSIGNED

    /** When its start left, or when a heartbeat first showed it; 0 while it is only assigned. */
    var sentMicros = 0L

    /** When it was first seen running; 0 if it never was. */
    var runningSinceMicros = 0L

    /** Why it is being stopped; null while it is meant to go on. */
    var stopReason: StopReason? = null

    /** How long it may take to write a checkpoint once it is stopped. */
    var stopGracePeriodMicros = 0L

    /** Whether a response has told its worker to stop it. */
    var isStopSent = false

    /** Whether it belongs to the first tasks of a starving job, which would never get further if these were preempted. */
    var isExemptFromPreemption = false

    /** The job that its resources are freed for; null if it is not preempted. */
    var preemptedFor: Job? = null

    /** Identifies the attempt on its machine. */
    val key = TaskAttempt(task, attempt)

    /** Whether no command has left for it yet. */
    val isAssigned: Boolean get() = phase == Phase.ASSIGNED

    /** Whether the last heartbeat showed the task running. */
    val isRunning: Boolean get() = phase == Phase.RUNNING

    /** Whether a heartbeat has shown the task on its machine. */
    val isReported: Boolean get() = phase != Phase.ASSIGNED && phase != Phase.SENT
}
