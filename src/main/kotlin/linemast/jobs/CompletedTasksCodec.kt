package linemast.jobs

import linemast.serialization.Fields
import linemast.serialization.MalformedException
import java.util.Base64
import java.util.BitSet

/**
 * Divides the set of a job's completed tasks into parts, each of which is stored under a key of its own.
 *
 * A part is far smaller than the lowest size limit of a stored value, and a change rewrites only the part that it belongs to.
 */
object CompletedTaskParts {
    /** Number of tasks that one part covers. */
    const val TASKS_PER_PART = 8_192

    /** Returns the number of the part that covers the task with [taskIndex]. */
    fun partOf(taskIndex: Int): Int = taskIndex / TASKS_PER_PART

    /** Returns the number of parts of a job with [taskCount] tasks. */
    fun count(taskCount: Int): Int = (taskCount + TASKS_PER_PART - 1) / TASKS_PER_PART
}

/** Encodes and decodes the stored form of one part of the set of a job's completed tasks. */
object CompletedTasksCodec {
    private const val BITS = "bits"

    /** Encodes part number [part] of [completed], which holds the indices of all completed tasks. */
    fun encode(completed: BitSet, part: Int): Map<String, Any?> {
        val from = part * CompletedTaskParts.TASKS_PER_PART
        val bytes = completed.get(from, from + CompletedTaskParts.TASKS_PER_PART).toByteArray()
        return mapOf(BITS to Base64.getEncoder().encodeToString(bytes))
    }

    /** Adds the task indices of the stored part number [part] to [into]; throws [MalformedException] if the part is malformed. */
    fun decode(fields: Fields, part: Int, into: BitSet) {
        val text = fields.text(BITS)
        val bits = try {
            BitSet.valueOf(Base64.getDecoder().decode(text))
        } catch (e: IllegalArgumentException) {
            throw MalformedException("completed tasks: not valid Base64: ${e.message}")
        }
        if (bits.length() > CompletedTaskParts.TASKS_PER_PART) throw MalformedException("completed tasks: too many bits for one part")
        bits.stream().forEach { into.set(part * CompletedTaskParts.TASKS_PER_PART + it) }
    }
}
