package linemast.jobs

/**
 * The keys of a job in the store.
 *
 * `j/ID` holds the outcome and is kept forever. `o/ID` holds the whole job while any of its tasks may be on a machine, so
 * that a failover reads open jobs only. `d/ID/PART` hold the sets of completed tasks. `w/ID` holds a job that is blocked
 * by its dependencies instead of `o/ID`; the transaction that releases it moves it from one key to the other, so that a
 * program version without dependencies never sees a job that may not start.
 */
object JobKeys {
    /** Prefix of the keys of jobs that may start or run. */
    const val OPEN_PREFIX = "o/"

    /** Prefix of the keys of completed tasks. */
    const val COMPLETED_TASKS_PREFIX = "d/"

    /** Prefix of the keys of jobs that are blocked by their dependencies. */
    const val BLOCKED_PREFIX = "w/"

    /** Key of the outcome, which is kept forever. */
    fun outcome(id: String) = "j/$id"

    /** Key of a job that may start or run. */
    fun open(id: String) = OPEN_PREFIX + id

    /** Key of a job that is blocked by its dependencies. */
    fun blocked(id: String) = BLOCKED_PREFIX + id

    /** Key of one part of the set of completed tasks. */
    fun completedTasksPart(id: String, part: Int) = "$COMPLETED_TASKS_PREFIX$id/$part"
}
