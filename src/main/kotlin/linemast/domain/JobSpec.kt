package linemast.domain

/** How the tasks of a job are related. */
enum class JobKind {
    /** Independent tasks, each of which runs to completion. */
    ARRAY,

    /** All tasks run at the same time or none does. */
    GANG,

    /** Independent tasks that run until the user cancels the job. Users submit this kind, although the protocol's page does not list it. */
    SERVICE,
}

/** The priority of a job. The values are declared from the most to the least urgent, so that a lower ordinal is scheduled first. */
enum class JobPriority {
    /** Tasks of jobs of all other priorities may be preempted for such a job. */
    CRITICAL,

    /** Tasks of [NORMAL] and [IDLE] jobs may be preempted for such a job. */
    HIGH,

    /** Tasks of [IDLE] jobs may be preempted for such a job. */
    NORMAL,

    /** No task is preempted for such a job because of its priority. */
    IDLE,
}

/** A job as its user submitted it. Resource amounts are those of one task; durations are in microseconds. */
data class JobSpec(
    /** Chosen by the user; of the form that [isId] checks. */
    val id: String,
    /** Name of the job class; jobs of one class share service-level objectives and behave alike. */
    val jobClass: String,
    /** Name of the team whose quota its tasks count against. */
    val team: String,
    /** How the job's tasks are related. */
    val kind: JobKind,
    /** Priority that the user chose; the scheduler uses [Job.priority], which may be higher. */
    val priority: JobPriority,
    /** Number of tasks; their indices begin with 0. */
    val taskCount: Int,
    /** Vcpus that each task uses. */
    val vcpus: Double,
    /** GPUs that each task uses. */
    val gpus: Double,
    /** Memory that each task uses, in gigabytes. */
    val memoryGb: Double,
    /** The image that a machine fetches before it runs a task. */
    val image: String,
    /** Size of the image in gigabytes. */
    val imageGb: Double,
    /** Names of the machine types that the tasks may run on; null allows all. */
    val machineTypes: List<String>?,
    /** The zone that the tasks have to run in; null allows all. */
    val zone: String?,
    /** Whether all tasks have to run in the same zone. */
    val requiresSameZone: Boolean,
    /** Whether the tasks have to be spread over zones; see [maxTasksPerZone]. */
    val requiresSpread: Boolean,
    /** Whether the tasks may run on spot machines. */
    val allowsSpot: Boolean,
    /** The user's estimate of the run time of one task. */
    val estimatedRunMicros: Long,
    /** Interval between the checkpoints of a running task; 0 if it writes none. */
    val checkpointIntervalMicros: Long,
    /** How long a task takes to write a checkpoint. */
    val checkpointMicros: Long,
    /** Time from the submission to the deadline of the job; null if it has no deadline. */
    val deadlineMicros: Long?,
    /** Ids of the jobs that have to be done before any task of this job starts. */
    val dependencies: List<String> = emptyList(),
) {
    /** Whether all tasks run at the same time or none does. */
    val isGang: Boolean get() = kind == JobKind.GANG

    /** Whether the tasks write no checkpoints, so that a stopped task loses all its work. */
    val neverCheckpoints: Boolean get() = checkpointIntervalMicros == 0L

    /** How many of the job's tasks may be in one zone at a time. */
    val maxTasksPerZone: Int get() = if (requiresSpread) (taskCount + 1) / 2 else taskCount

    /** Returns a copy without the names of unknown machine types, so that the record fits the size limit of a stored value. */
    fun withKnownMachineTypes(types: Collection<MachineType>): JobSpec =
        if (machineTypes == null) this else copy(machineTypes = machineTypes.filter { name -> types.any { it.name == name } })

    companion object {
        private val ID = Regex("req-[0-9]{1,18}")

        /** Whether [text] has the form of a job id. */
        fun isId(text: String): Boolean = ID.matches(text)
    }
}
