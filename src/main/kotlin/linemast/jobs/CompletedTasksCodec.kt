package linemast.jobs

import linemast.serialization.Fields
import linemast.serialization.MalformedException
import java.util.Base64
import java.util.BitSet

/**
 * How the set of a job's completed tasks is divided into parts, each stored under a key of its own.
 *
 * A part stays far below the smallest limit of a stored value, and a change rewrites only its own part.
 */
object CompletedTaskParts {
    /** Number of tasks that one part covers. */
    const val TASKS_PER_PART = 8_192

    /** The number of the part that holds the task with [taskIndex]. */
    fun partOf(taskIndex: Int): Int = taskIndex / TASKS_PER_PART

    /** How many parts a job of [taskCount] tasks has. */
    fun count(taskCount: Int): Int = (taskCount + TASKS_PER_PART - 1) / TASKS_PER_PART
}

/** The stored form of one part of the set of a job's completed tasks. */
object CompletedTasksCodec {
    private const val BITS = "bits"

    /** The stored form of part number [part] of [completed], which holds the indices of all completed tasks. */
    fun encode(completed: BitSet, part: Int): Map<String, Any?> {
        val from = part * CompletedTaskParts.TASKS_PER_PART
        val bytes = completed.get(from, from + CompletedTaskParts.TASKS_PER_PART).toByteArray()
        return mapOf(BITS to Base64.getEncoder().encodeToString(bytes))
    }

    /** Adds the task indices of the stored part number [part] to [into]; throws [MalformedException] if it cannot be read. */
    fun decode(fields: Fields, part: Int, into: BitSet) {
        val text = fields.text(BITS)
        val bits = try {
            BitSet.valueOf(Base64.getDecoder().decode(text))
        } catch (e: IllegalArgumentException) {
            throw MalformedException("completed tasks: ${e.message}")
        }
        if (bits.length() > CompletedTaskParts.TASKS_PER_PART) throw MalformedException("completed tasks: too many bits")
        bits.stream().forEach { into.set(part * CompletedTaskParts.TASKS_PER_PART + it) }
    }
}
