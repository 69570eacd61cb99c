package linemast.domain

import java.util.BitSet

/**
 * An open job in the leader's memory: the state of its record in the store, its tasks, and its position in the schedule.
 *
 * Times named `...WallMicros` are wall time in microseconds, others are times of the leader's steady clock.
 */
class Job(
    record: JobRecord,
    /** Latest revision of the job's record in the store that the leader has read or written. */
    var revision: Long,
    /** Whether a previous leader may have started tasks of the job. */
    inherited: Boolean,
    /** The highest attempt number that a task of the job can get from this leader. */
    maxAttempt: Long = Long.MAX_VALUE,
) {
    /** Whether the store records that tasks of the job may have been started. */
    enum class Activation {
        /** The store does not record it; no start may be sent. */
        INACTIVE,

        /** The write that records it is in progress. */
        STORING,

        /** The store records it; starts may be sent. */
        ACTIVE,
    }

    /** What the user submitted. */
    val spec = record.spec

    /** Id that the user chose for the job. */
    val id: String get() = spec.id

    /** The most bytes that one task takes up in the heartbeats of its machine; see [HeartbeatSize]. */
    val heartbeatEntryBytes = HeartbeatSize.maxEntryBytes(spec, maxAttempt)

    /** How many tasks of the job the heartbeats of an otherwise empty machine can list. */
    val maxListedTasks = HeartbeatSize.maxTasks(heartbeatEntryBytes)

    /** Wall time at which the submission was accepted. */
    val acceptedWallMicros = record.acceptedWallMicros

    /** From when on the job can start if there is free capacity. The time until its dependencies were done is not counted as waiting. */
    val readyWallMicros = record.releasedWallMicros ?: record.acceptedWallMicros

    /** Whether tasks that a previous leader started may be on machines that have sent this leader no heartbeat. */
    var hasUnconfirmedTasks = inherited

    /** Whether the store records that tasks of the job may have been started; set when that write begins and ends. */
    var activation = if (record.activated) Activation.ACTIVE else Activation.INACTIVE

    /** Whether the job is cancelled; never changes back to false. */
    var cancelled = record.cancelled

    /** The earliest time at which the cancellation can have been confirmed to the user, as far as this leader can tell. */
    var cancelledSinceMicros = 0L

    /** Whether the store records that the job has ended. */
    var finished = false

    /** When the last task of the job left its machine, or when this leader took the job over; 0 if no task was on a machine. */
    var lastActiveMicros = 0L

    /** The priority of the job's spec, or a higher one that the job inherits from a dependent job. */
    var priority = record.spec.priority

    /** When the job has to end so that its dependent jobs meet their deadlines; null if none of them has a deadline. */
    var requiredEndWallMicros: Long? = null

    /** Why the scheduler placed no task of the job the last time that it tried; null once a task was placed. */
    var pendingReason: PendingReason? = null

    /** Whether the job and the earlier jobs of its team together are within the team's quota. */
    var withinQuota = false

    /** Whether the job was accepted long ago and none of its tasks has been started yet. */
    var isStarving = false

    private val tasks = TaskSet(spec.taskCount)

    /** Which parts of the set of completed tasks are stored. */
    val storedProgress = StoredProgress()

    /** The attempt that the tasks of a gang share; not used for other jobs. */
    val gangAttempt = GangAttempt()

    /** Failures of the job's tasks, and until when they delay its starts. */
    val failures = JobFailures()

    /** Run times of the job's completed tasks. */
    val runTimes = MeasuredRunTimes()

    /** Indices of the tasks that have run to completion. */
    val completedTasks: BitSet get() = tasks.completed

    /** Number of tasks that have run to completion. */
    val completedCount: Int get() = tasks.completedCount

    /** Whether all tasks have run to completion. */
    val isDone: Boolean get() = tasks.isDone

    /** Number of tasks that are completed or have a placement. */
    val completedOrPlacedCount: Int get() = tasks.completedOrPlacedCount

    /** Number of tasks that are neither completed nor placed. */
    val pendingCount: Int get() = tasks.pendingCount

    /** All task attempts that may be on a machine or are assigned to one. */
    val placements: Set<Placement> get() = tasks.placements

    /**
     * Whether the job may use what is kept free of jobs with many small tasks. A gang may, since it starts as a whole or not at all.
     */
    val hasFewPlacements: Boolean get() = spec.isGang || placements.size < FEW_PLACEMENTS

    /** Number of task attempts that the latest heartbeats have shown running. */
    val runningCount: Int get() = placements.count { it.isRunning }

    /** See [TaskSet.nextPending]. */
    fun nextPending(from: Int): Int = tasks.nextPending(from)

    /** See [TaskSet.markCompleted]. */
    fun markCompleted(index: Int): Boolean = tasks.markCompleted(index)

    /** See [TaskSet.add]. */
    fun add(placement: Placement) = tasks.add(placement)

    /** See [TaskSet.remove]. */
    fun remove(placement: Placement) = tasks.remove(placement)

    companion object {
        /** A job with fewer placements than this has few. */
        const val FEW_PLACEMENTS = 16
    }
}
