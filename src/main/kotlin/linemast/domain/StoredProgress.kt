package linemast.domain

import java.util.BitSet

/**
 * Which parts of a job's set of completed tasks are stored.
 *
 * The set is stored in parts, each of which covers a fixed number of tasks.
 */
class StoredProgress {
    /** Numbers of the parts that have changed since they were last written. */
    val dirtyParts = BitSet()

    /** Indices of the completed tasks that are stored. */
    private val storedTasks = BitSet()

    /** Whether the store holds that the task with [taskIndex] is completed. */
    fun isStored(taskIndex: Int): Boolean = storedTasks.get(taskIndex)

    /** Records that the store holds the completed [tasks]. */
    fun recordStored(tasks: BitSet) = storedTasks.or(tasks)

    /** Whether a write of the job's progress or outcome is in progress. */
    var isWriting = false

    /** When the latest write of progress began; 0 if there was none. */
    var lastWriteMicros = 0L

    /** Revisions of the stored parts. Each write has them as preconditions, so that a delayed write cannot overwrite a newer one. */
    val partRevisions = HashMap<Int, Long>()
}
