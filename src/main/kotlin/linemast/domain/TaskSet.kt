package linemast.domain

import org.agrona.collections.Int2IntCounterMap
import java.util.BitSet

/** Tracks which of a job's [taskCount] tasks are completed, placed or pending. */
class TaskSet(private val taskCount: Int) {
    /** Indices of the tasks that have run to completion. */
    val completed = BitSet()

    /** Number of tasks that have run to completion. */
    var completedCount = 0
        private set

    /** All task attempts that may be on a machine or are assigned to one. */
    val placements = LinkedHashSet<Placement>()
    private val placementCounts = Int2IntCounterMap(0)

    /** Indices of the tasks that are completed or have a placement. */
    private val completedOrPlaced = BitSet()

    /** Number of tasks that are completed or have a placement. */
    var completedOrPlacedCount = 0
        private set

    /** Number of tasks that are neither completed nor placed. */
    val pendingCount: Int get() = taskCount - completedOrPlacedCount

    /** Whether all tasks have run to completion. */
    val isDone: Boolean get() = completedCount == taskCount

    /** Returns the lowest index from [from] on of a task that is neither completed nor placed; -1 if there is none. */
    fun nextPending(from: Int): Int = completedOrPlaced.nextClearBit(from).let { if (it < taskCount) it else -1 }

    /** Marks task [index] as completed; returns false if it was completed already or if there is no such task. */
    fun markCompleted(index: Int): Boolean {
        if (index >= taskCount || completed.get(index)) return false
        completed.set(index)
        completedCount++
        markCompletedOrPlaced(index)
        return true
    }

    /** Adds a placement of one of the tasks. */
    fun add(placement: Placement) {
        if (!placements.add(placement)) return
        placementCounts.incrementAndGet(placement.task.index)
        markCompletedOrPlaced(placement.task.index)
    }

    /** Removes a placement. Its task becomes pending again unless the task is completed or has another placement. */
    fun remove(placement: Placement) {
        if (!placements.remove(placement)) return
        val index = placement.task.index
        if (placementCounts.decrementAndGet(index) == 0 && !completed.get(index)) {
            completedOrPlaced.clear(index)
            completedOrPlacedCount--
        }
    }

    private fun markCompletedOrPlaced(index: Int) {
        if (completedOrPlaced.get(index)) return
        completedOrPlaced.set(index)
        completedOrPlacedCount++
    }
}
