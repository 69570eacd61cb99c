package linemast.jobs

/**
 * The keys of a job in the store.
 *
 * - `j/ID` holds the outcome of the job and is never deleted.
 * - `o/ID` holds the record of a released job until the job is done, or is cancelled and none of its tasks is on a machine any
 *   more, so that a failover reads open jobs only.
 * - `d/ID/PART` holds one part of the set of completed tasks.
 * - `w/ID` holds, instead of `o/ID`, the record of a job that is blocked by its dependencies. The transaction that releases
 *   the job moves the record from `w/ID` to `o/ID`, so that a program version without support for dependencies never sees a
 *   job that may not start.
 */
object JobKeys {
    /** Prefix of the keys of open jobs that are released to the scheduler. */
    const val OPEN_PREFIX = "o/"

    /** Prefix of the keys of the sets of completed tasks. */
    const val COMPLETED_TASKS_PREFIX = "d/"

    /** Prefix of the keys of jobs that are blocked by their dependencies. */
    const val BLOCKED_PREFIX = "w/"

    /** Returns the key of the outcome of a job. */
    fun outcome(id: String) = "j/$id"

    /** Returns the key of an open job that is released to the scheduler. */
    fun open(id: String) = OPEN_PREFIX + id

    /** Returns the key of a job that is blocked by its dependencies. */
    fun blocked(id: String) = BLOCKED_PREFIX + id

    /** Returns the key of one part of the set of completed tasks. */
    fun completedTasksPart(id: String, part: Int) = "$COMPLETED_TASKS_PREFIX$id/$part"
}
