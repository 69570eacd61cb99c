package linemast.domain

/** The outcome of a job in the store. Every response to a user is derived from it. */
enum class JobOutcome {
    /** The job is accepted and has not ended: it is blocked, pending or running. */
    OPEN,

    /** All tasks of the job have run to completion. */
    DONE,

    /** The user cancelled the job, or a job that it depends on was cancelled. */
    CANCELLED,
    ;

    /** Whether the outcome is final. */
    val isTerminal: Boolean get() = this != OPEN
}

/** The stored outcome of a job, which is never deleted. */
class OutcomeRecord(
    /** How the job has ended, or [JobOutcome.OPEN]. */
    val outcome: JobOutcome,
    /** Number of tasks, which responses to users need after the [JobRecord] is deleted. */
    val taskCount: Int,
    /** Ids of the jobs that this job depends on; not used once the outcome is terminal. */
    val dependencies: List<String> = emptyList(),
)

/**
 * The stored record of an open job, which is either released to the scheduler or blocked by its dependencies.
 *
 * The record of a cancelled job is kept until no task of the job is on a machine.
 */
class JobRecord(
    /** What the user submitted; a released job has no dependencies any more. */
    val spec: JobSpec,
    /** Wall time at which the submission was accepted; precise enough to order jobs and to compute deadlines. */
    val acceptedWallMicros: Long,
    /** Whether a start of one of the job's tasks may have been sent; see [Job.Activation]. */
    val activated: Boolean,
    /** Whether the job is cancelled; the record is deleted once none of its tasks is on a machine. */
    val cancelled: Boolean,
    /** Wall time at which the last dependency was done; null if the job has none. */
    val releasedWallMicros: Long? = null,
) {
    /** Returns a copy with other flags. */
    fun with(activated: Boolean = this.activated, cancelled: Boolean = this.cancelled) =
        JobRecord(spec, acceptedWallMicros, activated, cancelled, releasedWallMicros)

    /** Returns the record for a release at [wallMicros]: the job may start, and its dependencies are removed as no longer needed. */
    fun released(wallMicros: Long) =
        JobRecord(spec.copy(dependencies = emptyList()), acceptedWallMicros, activated = true, cancelled, wallMicros)

    /** Returns a copy whose list of machine types has known types only, so that the record fits the size limit of a stored value. */
    fun withKnownMachineTypes(types: Collection<MachineType>) =
        JobRecord(spec.withKnownMachineTypes(types), acceptedWallMicros, activated, cancelled, releasedWallMicros)
}
