package linemast.domain

import java.util.BitSet

/**
 * An open job as the leader sees it: what is stored of it, its tasks, and its position in the schedule.
 *
 * Times named `...WallMicros` are microseconds of the time of day, others are readings of the leader's clock.
 */
class Job(
    record: JobRecord,
    /** Revision of its record in the store that the leader last saw. */
    var revision: Long,
    /** Whether a previous leader may have started tasks of it. */
    inherited: Boolean,
) {
    /** How far the store knows that tasks may have been started. */
    enum class Activation {
        /** The store does not say so; no start may leave. */
        INACTIVE,

        /** The write is under way. */
        STORING,

        /** The store says so; starts may leave. */
        ACTIVE,
    }

    /** What the user submitted. */
    val spec = record.spec

    /** Id that the user chose for it. */
    val id: String get() = spec.id

    /** Time of day of the submission. */
    val acceptedWallMicros = record.acceptedWallMicros

    /** From when on it could start if there was free capacity: the time until its dependencies were done does not count. */
    val readyWallMicros = record.releasedWallMicros ?: record.acceptedWallMicros

    /** Whether tasks that a previous leader started may be on machines that have sent this one no heartbeat. */
    var hasUnconfirmedTasks = inherited

    /** How far the store knows that tasks may have been started; set as the write begins and ends. */
    var activation = if (record.activated) Activation.ACTIVE else Activation.INACTIVE

    /** Whether it is cancelled; it never goes back to false. */
    var cancelled = record.cancelled

    /** The earliest time at which its cancellation can have been confirmed, as far as this leader can tell. */
    var cancelledSinceMicros = 0L

    /** Whether its end is stored. */
    var finished = false

    /** Its own priority, or a higher one that it inherits from a dependent job. */
    var priority = record.spec.priority

    /** When it has to end so that dependent jobs meet their deadlines; null if none has a deadline. */
    var requiredEndWallMicros: Long? = null

    /** Why no task of it could be placed last; null once one was placed. */
    var pendingReason: PendingReason? = null

    /** Whether it is within its team's quota, together with the team's earlier jobs. */
    var withinQuota = false

    /** Whether it was accepted long ago and no task of it has been started yet. */
    var isStarving = false

    private val tasks = TaskSet(spec.taskCount)

    /** How much of the set of completed tasks is stored. */
    val storedProgress = StoredProgress()

    /** The attempt that its tasks share; without meaning for jobs that are no gangs. */
    val gangAttempt = GangAttempt()

    /** Failures of its tasks, and until when they delay its starts. */
    val failureBackOff = FailureBackOff()

    /** Run times of its completed tasks. */
    val runTimes = MeasuredRunTimes()

    /** Tasks that have run to completion. */
    val completedTasks: BitSet get() = tasks.completed

    /** Number of tasks that have run to completion. */
    val completedCount: Int get() = tasks.completedCount

    /** Whether all tasks have run to completion. */
    val isDone: Boolean get() = tasks.isDone

    /** Number of tasks that are done or have a placement. */
    val completedOrPlacedCount: Int get() = tasks.completedOrPlacedCount

    /** Number of tasks that are neither done nor placed. */
    val pendingCount: Int get() = tasks.pendingCount

    /** All task attempts that may be on a machine, or are assigned to one. */
    val placements: Set<Placement> get() = tasks.placements

    /** Number of task attempts that were running by the last heartbeats. */
    val runningCount: Int get() = placements.count { it.isRunning }

    /** Names of the machines where a task of it has failed. */
    val failedOn: MutableSet<String> get() = failureBackOff.failedOn

    /** See [TaskSet.nextPending]. */
    fun nextPending(from: Int): Int = tasks.nextPending(from)

    /** See [TaskSet.markCompleted]. */
    fun markCompleted(index: Int): Boolean = tasks.markCompleted(index)

    /** See [TaskSet.add]. */
    fun add(placement: Placement) = tasks.add(placement)

    /** See [TaskSet.remove]. */
    fun remove(placement: Placement) = tasks.remove(placement)
}
