package linemast.jobs

import linemast.domain.JobKind
import linemast.domain.JobPriority
import linemast.domain.JobSpec
import linemast.serialization.Fields

/** Encodes and decodes job specs. Submissions and stored records have the same form; docs/glossary.md explains the names. */
object JobSpecCodec {
    private const val MAX_TASKS = 100_000L
    private const val MAX_LENGTH = 200

    /** With ids of the usual length, a record with this many dependencies is within the lowest size limit of a stored value. */
    private const val MAX_DEPENDENCIES = 64

    /** Estimated run time of a service whose submission has no estimate; in effect unlimited. */
    private const val DEFAULT_SERVICE_RUN_MICROS = 30L * 24 * 3_600 * 1_000_000
    private const val MAX_AMOUNT = 1e6
    private const val MAX_DURATION_SECONDS = 1e8

    /** Maps the values of an enumeration to their wire names and back. */
    private class WireNames<T>(vararg names: Pair<String, T>) {
        val byWireName = mapOf(*names)
        private val byValue = names.associate { (wire, value) -> value to wire }

        fun wireNameOf(value: T): String = byValue.getValue(value)
    }

    private val kinds = WireNames("sweep" to JobKind.ARRAY, "gang" to JobKind.GANG, "standing" to JobKind.SERVICE)
    private val priorities = WireNames(
        "critical" to JobPriority.CRITICAL,
        "high" to JobPriority.HIGH,
        "normal" to JobPriority.NORMAL,
        "idle" to JobPriority.IDLE,
    )

    /** Encodes [job] for a submission or for the store. */
    fun encode(job: JobSpec): Map<String, Any?> = buildMap {
        put("name_id", job.id)
        put("lane", job.jobClass)
        put("crew", job.team)
        put("shape", kinds.wireNameOf(job.kind))
        put("urgency", priorities.wireNameOf(job.priority))
        put("pieces", job.taskCount)
        put("vcpus", job.vcpus)
        put("gpus", job.gpus)
        put("memory_gb", job.memoryGb)
        put("bundle", job.image)
        put("pull_gb", job.imageGb)
        job.machineTypes?.let { put("builds", it) }
        job.zone?.let { put("yard", it) }
        put("same_place", job.requiresSameZone)
        put("apart", job.requiresSpread)
        put("loaners", job.allowsSpot)
        put("guess_s", job.estimatedRunMicros / 1e6)
        put("mark_every_s", job.checkpointIntervalMicros / 1e6)
        put("mark_s", job.checkpointMicros / 1e6)
        job.deadlineMicros?.let { put("due_s", it / 1e6) }
        if (job.dependencies.isNotEmpty()) put("awaits", job.dependencies)
    }

    /**
     * Decodes and validates a submission or a stored job spec. Throws [linemast.serialization.MalformedException] if a field
     * is missing or out of range.
     */
    fun decode(fields: Fields): JobSpec {
        val id = fields.text("name_id")
        if (!JobSpec.isId(id)) fields.fail("name_id", "must be a job id such as req-1")
        val taskCount = fields.long("pieces")
        if (taskCount !in 1..MAX_TASKS) fields.fail("pieces", "must be from 1 to $MAX_TASKS")
        val machineTypes = fields.textsOrNull("builds")
        if (machineTypes != null && (machineTypes.isEmpty() || machineTypes.size > MAX_LENGTH)) fields.fail("builds", "must name a type")
        val vcpus = decodeAmount(fields, "vcpus")
        val gpus = decodeAmount(fields, "gpus")
        if (vcpus == 0.0 && gpus == 0.0) fields.fail("vcpus", "must be more than 0 if gpus is 0")
        val kind = kinds.byWireName[fields.text("shape")] ?: fields.fail("shape", "must be one of sweep, gang, standing")
        return JobSpec(
            id = id,
            jobClass = decodeShortText(fields, "lane"),
            team = decodeShortText(fields, "crew"),
            kind = kind,
            priority = priorities.byWireName[fields.text("urgency")]
                ?: fields.fail("urgency", "must be one of critical, high, normal, idle"),
            taskCount = taskCount.toInt(),
            vcpus = vcpus,
            gpus = gpus,
            memoryGb = decodeAmount(fields, "memory_gb"),
            image = decodeShortText(fields, "bundle"),
            imageGb = decodeAmount(fields, "pull_gb"),
            machineTypes = machineTypes,
            zone = fields.textOrNull("yard"),
            requiresSameZone = fields.flag("same_place"),
            requiresSpread = fields.flag("apart"),
            allowsSpot = fields.flag("loaners"),
            estimatedRunMicros = if (kind == JobKind.SERVICE &&
                !fields.has("guess_s")
            ) {
                DEFAULT_SERVICE_RUN_MICROS
            } else {
                decodeDuration(fields, "guess_s")
            },
            checkpointIntervalMicros = decodeDuration(fields, "mark_every_s"),
            checkpointMicros = decodeDuration(fields, "mark_s"),
            deadlineMicros = if (fields.has("due_s")) decodeDuration(fields, "due_s") else null,
            dependencies = decodeDependencies(fields),
        )
    }

    private fun decodeDependencies(fields: Fields): List<String> {
        val ids = fields.textsOrNull("awaits")?.distinct() ?: return emptyList()
        if (ids.size > MAX_DEPENDENCIES) fields.fail("awaits", "must name at most $MAX_DEPENDENCIES jobs")
        if (!ids.all(JobSpec::isId)) fields.fail("awaits", "must hold only job ids such as req-1")
        return ids
    }

    private fun decodeShortText(fields: Fields, name: String): String =
        fields.text(name).also { if (it.isEmpty() || it.length > MAX_LENGTH) fields.fail(name, "must not be empty or too long") }

    private fun decodeAmount(fields: Fields, name: String): Double =
        fields.number(name).also { if (it < 0 || it > MAX_AMOUNT) fields.fail(name, "must not be negative or too large") }

    private fun decodeDuration(fields: Fields, name: String): Long {
        val seconds = fields.number(name)
        if (seconds < 0 || seconds > MAX_DURATION_SECONDS) fields.fail(name, "must not be negative or too large")
        return (seconds * 1e6).toLong()
    }
}
