package linemast.jobs

import linemast.serialization.MalformedException
import java.util.Base64
import java.util.BitSet

/**
 * A job's completed tasks in the form the store takes: parts of [PART_TASKS] tasks, each a text.
 *
 * A part stays far below the smallest value limit, and a change rewrites only its own part.
 */
object CompletedTasks {
    const val PART_TASKS = 8_192

    /** The part that holds task [index]. */
    fun partOf(index: Int): Int = index / PART_TASKS

    /** How many parts a job of [taskCount] tasks has. */
    fun parts(taskCount: Int): Int = (taskCount + PART_TASKS - 1) / PART_TASKS

    /** The text of one part. */
    fun encodePart(done: BitSet, part: Int): String {
        val from = part * PART_TASKS
        return Base64.getEncoder().encodeToString(done.get(from, from + PART_TASKS).toByteArray())
    }

    /** Adds the tasks of one part to [into]. */
    fun decodePart(text: String, part: Int, into: BitSet) {
        val bits = try {
            BitSet.valueOf(Base64.getDecoder().decode(text))
        } catch (e: IllegalArgumentException) {
            throw MalformedException("done set: ${e.message}")
        }
        if (bits.length() > PART_TASKS) throw MalformedException("done set: too long")
        bits.stream().forEach { into.set(part * PART_TASKS + it) }
    }
}
