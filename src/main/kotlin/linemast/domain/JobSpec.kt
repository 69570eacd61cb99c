package linemast.domain

/** How the tasks of a job belong together. */
enum class JobKind {
    /** Independent tasks, each of which runs to completion. */
    ARRAY,

    /** All tasks run at the same time or none does. */
    GANG,

    /** Independent tasks that run until their user cancels the job. Not on the protocol's page, but asked for in practice. */
    SERVICE,
}

/** Declared from the most to the least urgent, so that a smaller ordinal goes first. */
enum class JobPriority {
    /** Tasks of jobs of all other priorities may be preempted for it. */
    CRITICAL,

    /** Tasks of [NORMAL] and [IDLE] jobs may be preempted for it. */
    HIGH,

    /** Tasks of [IDLE] jobs may be preempted for it. */
    NORMAL,

    /** No task is preempted for it on account of its priority. */
    IDLE,
}

/** A job as its user submitted it. Resource amounts are those of one task; durations are in microseconds. */
data class JobSpec(
    /** Chosen by the user; of the form that [isId] checks. */
    val id: String,
    /** Jobs of one class share service-level objectives and behave alike. */
    val jobClass: String,
    /** Name of the team whose quota its tasks count against. */
    val team: String,
    /** How its tasks belong together. */
    val kind: JobKind,
    /** Priority that the user gave it; see [Job.priority] for the one it is scheduled by. */
    val priority: JobPriority,
    /** Number of tasks; they are numbered from 0. */
    val taskCount: Int,
    /** Vcpus that each task takes. */
    val vcpus: Double,
    /** GPUs that each task takes. */
    val gpus: Double,
    /** Memory that each task takes, in gigabytes. */
    val memoryGb: Double,
    /** The image that a machine fetches before it runs a task. */
    val image: String,
    /** Size of the image in gigabytes. */
    val imageGb: Double,
    /** Names of the machine types that its tasks may run on; null allows all. */
    val machineTypes: List<String>?,
    /** The zone that its tasks have to run in; null allows all. */
    val zone: String?,
    /** Whether all its tasks have to run in one zone. */
    val requiresSameZone: Boolean,
    /** Whether its tasks have to be spread over zones: see [maxTasksPerZone]. */
    val requiresSpread: Boolean,
    /** Whether its tasks may run on spot machines. */
    val allowsSpot: Boolean,
    /** The owner's estimate of a task's run time. */
    val estimatedRunMicros: Long,
    /** Interval of a running task's checkpoints; 0 if it writes none. */
    val checkpointIntervalMicros: Long,
    /** How long writing a checkpoint takes. */
    val checkpointMicros: Long,
    /** When the job should be done, counted from its submission; null if it has no deadline. */
    val deadlineMicros: Long?,
    /** Jobs that have to be done before any task of this one starts. */
    val dependencies: List<String> = emptyList(),
) {
    /** Whether all tasks run at the same time or none does. */
    val isGang: Boolean get() = kind == JobKind.GANG

    /** Whether its tasks write no checkpoints, so that stopping one loses all its work. */
    val neverCheckpoints: Boolean get() = checkpointIntervalMicros == 0L

    /** How many of its tasks may be in one zone at a time. */
    val maxTasksPerZone: Int get() = if (requiresSpread) (taskCount + 1) / 2 else taskCount

    /** A copy without names of unknown machine types, so that the record fits a stored value. */
    fun withKnownMachineTypes(types: Collection<MachineType>): JobSpec =
        if (machineTypes == null) this else copy(machineTypes = machineTypes.filter { name -> types.any { it.name == name } })

    companion object {
        private val ID = Regex("req-[0-9]{1,18}")

        /** Whether [text] has the form of a job id. */
        fun isId(text: String): Boolean = ID.matches(text)
    }
}
