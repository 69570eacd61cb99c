package linemast.domain

import org.agrona.collections.Int2IntCounterMap
import java.util.BitSet

/** Which of a job's [taskCount] tasks are done, placed or pending. */
class TaskSet(private val taskCount: Int) {
    /** Tasks that have run to completion. */
    val done = BitSet()

    /** Number of tasks that have run to completion. */
    var doneCount = 0
        private set

    /** All task attempts that may be on a machine, or are assigned to one. */
    val placements = LinkedHashSet<Placement>()
    private val placementCounts = Int2IntCounterMap(0)

    /** Tasks that are done or have a placement. */
    private val doneOrPlaced = BitSet()

    /** Number of tasks that are done or have a placement. */
    var doneOrPlacedCount = 0
        private set

    /** Number of tasks that are neither done nor placed. */
    val pendingCount: Int get() = taskCount - doneOrPlacedCount

    /** Whether all tasks have run to completion. */
    val isDone: Boolean get() = doneCount == taskCount

    /** The first task from [from] on that is neither done nor placed; -1 if there is none. */
    fun nextPending(from: Int): Int = doneOrPlaced.nextClearBit(from).let { if (it < taskCount) it else -1 }

    /** Counts task [index] as done; false if it was done already, or if there is no such task. */
    fun markDone(index: Int): Boolean {
        if (index >= taskCount || done.get(index)) return false
        done.set(index)
        doneCount++
        markDoneOrPlaced(index)
        return true
    }

    /** Adds a placement of one of the tasks. */
    fun add(placement: Placement) {
        if (!placements.add(placement)) return
        placementCounts.incrementAndGet(placement.task.index)
        markDoneOrPlaced(placement.task.index)
    }

    /** Removes a placement; its task is pending again unless it is done or has another placement. */
    fun remove(placement: Placement) {
        if (!placements.remove(placement)) return
        val index = placement.task.index
        if (placementCounts.decrementAndGet(index) == 0 && !done.get(index)) {
            doneOrPlaced.clear(index)
            doneOrPlacedCount--
        }
    }

    private fun markDoneOrPlaced(index: Int) {
        if (doneOrPlaced.get(index)) return
        doneOrPlaced.set(index)
        doneOrPlacedCount++
    }
}
