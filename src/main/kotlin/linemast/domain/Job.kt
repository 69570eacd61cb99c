package linemast.domain

import org.agrona.collections.Int2IntCounterMap
import java.util.BitSet

/** An unfinished job as the leader sees it. */
class Job(record: JobRecord, revision: Long, inherited: Boolean) {
    val spec = record.spec

    /** Whether tasks that an earlier leader started may be on machines that this one has not heard from. */
    var unconfirmed = inherited
    val id: String get() = spec.id
    val acceptedWallMicros = record.acceptedWallMicros

    /** From when on it could start, if there was room: waiting for other jobs does not count as waiting. */
    val readyWallMicros = record.releasedWallMicros ?: record.acceptedWallMicros

    /** Its own priority, or that of a job that needs it. */
    var priority = record.spec.priority

    /** When it has to end for the jobs that need it. */
    var neededByWallMicros: Long? = null

    /** Revision of its record in the store that the leader last saw. */
    var revision = revision

    /** How far the store knows that tasks may have been started. */
    enum class Opened { NO, STORING, YES }

    /** Whether the store says that tasks may have been started. */
    var opened = if (record.opened) Opened.YES else Opened.NO
    var cancelled = record.cancelled

    /** The earliest that its cancellation can have been confirmed, as far as this leader can tell. */
    var cancelledSinceMicros = 0L

    val done = BitSet()
    var doneCount = 0
        private set

    /** Parts of the done set that changed since they were last written. */
    val dirtyParts = BitSet()
    var writingDone = false
    var doneStoredMicros = 0L

    /** Revisions of the stored parts: each write builds on them, so that a late one cannot undo a newer one. */
    val partRevisions = HashMap<Int, Long>()
    var finished = false

    /** All that may be on a machine, or is assigned to one. */
    val placements = LinkedHashSet<Placement>()
    private val live = Int2IntCounterMap(0)

    /** Tasks that are done, or may be on a machine, or are assigned. */
    private val taken = BitSet()
    var takenCount = 0
        private set

    var gangAttempt = 0L

    /** Whether a start of [gangAttempt] has left. */
    var gangAttemptUsed = false

    /** Whether [gangAttempt] was seen running: it cannot be completed by a replacement any more. */
    var gangRan = false

    /** Why no task of it could be placed last; null once one was placed. */
    var pendingReason: PendingReason? = null

    /** Within its team's guarantee, together with the team's earlier jobs. */
    var withinQuota = false

    /** Accepted long ago and no task of it has been started yet. */
    var isStarving = false
    var failures = 0
    val failedOn = HashSet<String>()
    var backOffUntilMicros = 0L

    /** Machines and attempts that were acknowledged: starting the same again there would run it once more. */
    private val acknowledged = HashSet<Pair<String, Long>>()

    /** The machine was told to forget an attempt of a task. */
    fun acknowledgedOn(machine: Machine, attempt: Long) {
        acknowledged += machine.name to attempt
    }

    /** Whether the machine was told to forget a task of the present gang attempt. */
    fun isAcknowledgedOn(machine: Machine): Boolean = acknowledged.isNotEmpty() && (machine.name to gangAttempt) in acknowledged

    /** Run times of completed tasks against the owner's estimate. */
    var measuredMicros = 0L
    var measuredTasks = 0

    val pendingCount: Int get() = spec.taskCount - takenCount
    val isDone: Boolean get() = doneCount == spec.taskCount
    val runningCount: Int get() = placements.count { it.phase == Placement.Phase.RUNNING }

    /** The first task from [from] on that is neither done nor placed; -1 if there is none. */
    fun nextPending(from: Int): Int = taken.nextClearBit(from).let { if (it < spec.taskCount) it else -1 }

    /** Whether task [index] has a placement. */
    fun isLive(index: Int): Boolean = live.get(index) > 0

    /** Counts task [index] as done; false if it was already. */
    fun markDone(index: Int): Boolean {
        if (index >= spec.taskCount || done.get(index)) return false
        done.set(index)
        doneCount++
        take(index)
        return true
    }

    /** Takes a placement of one of its tasks. */
    fun add(placement: Placement) {
        if (!placements.add(placement)) return
        live.incrementAndGet(placement.task.index)
        take(placement.task.index)
    }

    /** Forgets a placement of one of its tasks. */
    fun remove(placement: Placement) {
        if (!placements.remove(placement)) return
        val index = placement.task.index
        if (live.decrementAndGet(index) == 0 && !done.get(index)) {
            taken.clear(index)
            takenCount--
        }
    }

    private fun take(index: Int) {
        if (taken.get(index)) return
        taken.set(index)
        takenCount++
    }
}
