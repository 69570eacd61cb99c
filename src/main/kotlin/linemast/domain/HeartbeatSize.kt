package linemast.domain

/**
 * How much of a worker's heartbeat its tasks take up, in bytes of the JSON form, to which the size limits of the protocol apply.
 *
 * A heartbeat that exceeds the limit is refused, and a machine whose heartbeats are refused loses all its tasks. What a heartbeat can
 * list is therefore a resource of the machine. Each task counts with the longest form that its entry can reach.
 */
object HeartbeatSize {
    /** Space for the tasks of one machine: the protocol's limit of 64 KiB less the other fields of a heartbeat. */
    const val CAPACITY_BYTES = 64 * 1024 - 512

    /** The part of [CAPACITY_BYTES] that jobs of many small tasks leave free, so that they keep no other job waiting. */
    const val RESERVED_BYTES = 1_024

    /** No entry takes up more bytes than this. */
    const val MAX_ENTRY_BYTES = 128

    /** The punctuation, the field names and the states of an entry, with the longest cause of the end of an array's task. */
    private const val ENTRY_BYTES = 55

    /** By how much the longest cause of the end of a gang's task exceeds that of an array's task. */
    private const val GANG_BYTES = 3

    /** The field of an entry that tells of a checkpoint. */
    private const val CHECKPOINT_BYTES = 14

    /** Returns how many tasks with entries of [entryBytes] the heartbeats of an otherwise empty machine can list. */
    fun maxTasks(entryBytes: Int): Int = (CAPACITY_BYTES - RESERVED_BYTES) / entryBytes

    /** Returns the most bytes that the entry of one task of [spec] takes up if attempt numbers are at most [maxAttempt]. */
    fun maxEntryBytes(spec: JobSpec, maxAttempt: Long): Int = ENTRY_BYTES + taskBytes(spec.id, spec.taskCount - 1, maxAttempt) +
        (if (spec.isGang) GANG_BYTES else 0) +
        (if (spec.neverCheckpoints) 0 else CHECKPOINT_BYTES)

    /** Returns the most bytes that the entry of [attempt] takes up if nothing is known of its job. */
    fun maxEntryBytes(attempt: TaskAttempt): Int =
        ENTRY_BYTES + GANG_BYTES + CHECKPOINT_BYTES + taskBytes(attempt.task.job, attempt.task.index, attempt.attempt)

    private fun taskBytes(jobId: String, index: Int, attempt: Long): Int =
        jobId.length + 1 + index.toString().length + attempt.toString().length
}
