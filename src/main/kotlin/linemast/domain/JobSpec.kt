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
enum class JobPriority { CRITICAL, HIGH, NORMAL, IDLE }

/** A job as its user submitted it. */
data class JobSpec(
    val id: String,
    val jobClass: String,
    val team: String,
    val kind: JobKind,
    val priority: JobPriority,
    val taskCount: Int,
    val vcpus: Double,
    val gpus: Double,
    val memoryGb: Double,
    val image: String,
    val imageGb: Double,
    val machineTypes: List<String>?,
    val zone: String?,
    val sameZone: Boolean,
    val spread: Boolean,
    val spot: Boolean,
    val estimatedRunMicros: Long,
    val checkpointIntervalMicros: Long,
    val checkpointMicros: Long,
    val deadlineMicros: Long?,
    /** Jobs that have to be done before any task of this one starts. */
    val dependencies: List<String> = emptyList(),
) {
    val isGang: Boolean get() = kind == JobKind.GANG

    /** Whether stopping a task loses all its work. */
    val neverCheckpoints: Boolean get() = checkpointIntervalMicros == 0L

    /** How many of its tasks may be in one zone at a time. */
    val maxTasksPerZone: Int get() = if (spread) (taskCount + 1) / 2 else taskCount

    /** Without the names of machine types that there are none of: what is stored has to fit a value. */
    fun within(types: Collection<MachineType>): JobSpec =
        if (machineTypes == null) this else copy(machineTypes = machineTypes.filter { name -> types.any { it.name == name } })

    companion object {
        private val ID = Regex("req-[0-9]{1,18}")

        /** Whether [text] has the form of a job id. */
        fun isId(text: String): Boolean = ID.matches(text)
    }
}
