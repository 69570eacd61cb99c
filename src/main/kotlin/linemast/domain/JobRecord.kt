package linemast.domain

/** The outcome of a job as the store holds it: every response to a user is derived from it. */
enum class JobOutcome {
    /** Accepted; the job waits, or its tasks run. */
    OPEN,

    /** All its tasks have run to completion. */
    DONE,

    /** Its user cancelled it, or a job that it depends on was cancelled. */
    CANCELLED,
    ;

    /** Whether the outcome never changes again. */
    val isTerminal: Boolean get() = this != OPEN
}

/** The stored outcome of a job, which is kept forever. */
class OutcomeRecord(
    /** How the job has ended, or that it has not. */
    val outcome: JobOutcome,
    /** Number of tasks, kept for answers to users after the other record is gone. */
    val taskCount: Int,
    /** The jobs that this one depends on; meaningless once the outcome is terminal. */
    val dependencies: List<String> = emptyList(),
)

/** The stored record of a job that is neither done nor cancelled: released to the scheduler, or blocked by its dependencies. */
class JobRecord(
    /** What the user submitted; dependencies that are done are dropped at the release. */
    val spec: JobSpec,
    /** Time of day of the submission; precise enough to order jobs and to count deadlines from. */
    val acceptedWallMicros: Long,
    /** Whether a start may ever have been sent: see [Job.Activation]. */
    val activated: Boolean,
    /** Whether its user has cancelled it. */
    /** Whether it is cancelled; the record is deleted once no task of it is on a machine. */
    val cancelled: Boolean,
    /** Time of day when its last dependency was done; null if it has none. */
    val releasedWallMicros: Long? = null,
) {
    /** A copy with other flags. */
    fun with(activated: Boolean = this.activated, cancelled: Boolean = this.cancelled) =
        JobRecord(spec, acceptedWallMicros, activated, cancelled, releasedWallMicros)

    /** A copy that may start from now on; the dependencies are dropped, since they no longer matter. */
    fun released(wallMicros: Long) =
        JobRecord(spec.copy(dependencies = emptyList()), acceptedWallMicros, activated = true, cancelled, wallMicros)

    /** A copy that names only known machine types, so that the record fits a stored value. */
    fun withKnownMachineTypes(types: Collection<MachineType>) =
        JobRecord(spec.withKnownMachineTypes(types), acceptedWallMicros, activated, cancelled, releasedWallMicros)
}
