package linemast.domain

/** Identifies a task: the job that it belongs to and its index within the job. */
data class TaskId(
    /** Id of the job. */
    val job: String,
    /** Index of the task within the job, from 0 to the job's task count minus 1. */
    val index: Int,
) {
    /** Returns the wire form `job/index`, which [parse] reads. */
    override fun toString() = "$job/$index"

    companion object {
        /** Parses the wire form `job/index`; returns null if [text] has another form. */
        fun parse(text: String): TaskId? {
            val job = text.substringBefore('/')
            val index = text.substringAfter('/', "").toIntOrNull() ?: return null
            return if (JobSpec.isId(job) && index >= 0) TaskId(job, index) else null
        }
    }
}

/**
 * Identifies one attempt to run a task.
 *
 * @property task the task.
 * @property attempt number of the attempt. The number begins with the fencing token of the leader that chose it; all tasks of a
 * gang share it.
 */
data class TaskAttempt(val task: TaskId, val attempt: Long)
