package linemast.simulation

/** The rules of the protocol that the simulation checks; [title] is what messages call them. */
enum class Invariant(val title: String) {
    /** No task starts before the jobs that its job depends on are done. */
    STARTS_AFTER_DEPENDENCIES("too_early"),

    /** A task runs on one machine at a time. */
    TASK_RUNS_ONCE("ran_twice"),

    /** No team uses more than its limit. */
    QUOTA("quota"),

    /** Tasks run only where their job allows. */
    PLACEMENT("wrong_place"),

    /** Tasks of a cancelled job end in time. */
    CANCELLED_JOB_STOPS("ran_cancelled"),

    /** An accepted job stays accepted and known. */
    ACCEPTED_JOB_IS_KNOWN("forgotten"),

    /** A job that nobody submitted is not known. */
    UNKNOWN_JOB_IS_UNKNOWN("invented"),

    /** What cannot be accepted is refused with the status that the protocol gives. */
    REJECTION_STATUS("accepted oddly"),

    /** An acknowledged end of a job stays, and no job is cancelled unasked. */
    ACKNOWLEDGED_STATUS_IS_FINAL("went_back"),

    /** Jobs that depend on a cancelled one are cancelled in time. */
    DEPENDENTS_ARE_CANCELLED("orphaned"),

    /** A job that counts as done has done all its tasks. */
    DONE_JOB_HAS_COMPLETED_TASKS("not_done"),

    /** No job waits for long while there is room for it. */
    NO_STARVATION("left waiting"),
}

/** A broken rule: which one, by which job, when in virtual time, and how. */
data class Violation(val invariant: Invariant, val job: String, val micros: Long, val detail: String) {
    override fun toString() = "${micros / 1_000} ms: ${invariant.title}: $job $detail"
}
