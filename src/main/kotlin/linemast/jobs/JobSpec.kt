package linemast.jobs

import linemast.cloud.MachineType
import linemast.wire.Fields

enum class Shape(val wire: String) {
    SWEEP("sweep"),
    GANG("gang"),

    /** Independent tasks that run until their user cancels the job. Not on the protocol's page, but asked for in practice. */
    STANDING("standing"),
    ;

    companion object {
        private val byWire = entries.associateBy { it.wire }

        fun of(wire: String): Shape? = byWire[wire]
    }
}

/** Declared from the most to the least urgent, so that a smaller ordinal goes first. */
enum class Urgency(val wire: String) {
    CRITICAL("critical"),
    HIGH("high"),
    NORMAL("normal"),
    IDLE("idle"),
    ;

    companion object {
        private val byWire = entries.associateBy { it.wire }

        fun of(wire: String): Urgency? = byWire[wire]
    }
}

/** A job as its user submitted it. */
data class JobSpec(
    val id: String,
    val lane: String,
    val crew: String,
    val shape: Shape,
    val urgency: Urgency,
    val pieces: Int,
    val vcpus: Double,
    val gpus: Double,
    val memoryGb: Double,
    val bundle: String,
    val pullGb: Double,
    val builds: List<String>?,
    val yard: String?,
    val samePlace: Boolean,
    val apart: Boolean,
    val loaners: Boolean,
    val guessMicros: Long,
    val markEveryMicros: Long,
    val markMicros: Long,
    val dueMicros: Long?,
    /** Jobs that have to be done before any task of this one starts. */
    val awaits: List<String> = emptyList(),
) {
    val isGang: Boolean get() = shape == Shape.GANG

    /** Whether stopping a task loses all its work. */
    val neverSaves: Boolean get() = markEveryMicros == 0L

    /** How many of its tasks may be in one zone at a time. */
    val mostInOneYard: Int get() = if (apart) (pieces + 1) / 2 else pieces

    fun toMap(): Map<String, Any?> = buildMap {
        put("name_id", id)
        put("lane", lane)
        put("crew", crew)
        put("shape", shape.wire)
        put("urgency", urgency.wire)
        put("pieces", pieces)
        put("vcpus", vcpus)
        put("gpus", gpus)
        put("memory_gb", memoryGb)
        put("bundle", bundle)
        put("pull_gb", pullGb)
        builds?.let { put("builds", it) }
        yard?.let { put("yard", it) }
        put("same_place", samePlace)
        put("apart", apart)
        put("loaners", loaners)
        put("guess_s", guessMicros / 1e6)
        put("mark_every_s", markEveryMicros / 1e6)
        put("mark_s", markMicros / 1e6)
        dueMicros?.let { put("due_s", it / 1e6) }
        if (awaits.isNotEmpty()) put("awaits", awaits)
    }

    /** Without the names of machine types that there are none of: what is stored has to fit a value. */
    fun within(types: Collection<MachineType>): JobSpec =
        if (builds == null) this else copy(builds = builds.filter { name -> types.any { it.name == name } })

    companion object {
        private const val MAX_PIECES = 100_000L
        private const val MAX_TEXT = 200

        /** With the usual ids this many, and the rest of a job, fit the smallest value. */
        private const val MAX_AWAITS = 64
        private const val FOR_EVER_MICROS = 30L * 24 * 3_600 * 1_000_000
        private const val MAX_AMOUNT = 1e6
        private const val MAX_SECONDS = 1e8
        private val ID = Regex("req-[0-9]{1,18}")

        fun isId(text: String): Boolean = ID.matches(text)

        fun read(fields: Fields): JobSpec {
            val id = fields.text("name_id")
            if (!isId(id)) fields.fail("name_id", "is not a job id")
            val pieces = fields.long("pieces")
            if (pieces !in 1..MAX_PIECES) fields.fail("pieces", "must be from 1 to $MAX_PIECES")
            val builds = fields.textsOrNull("builds")
            if (builds != null && (builds.isEmpty() || builds.size > MAX_TEXT)) fields.fail("builds", "must name a type")
            val vcpus = amount(fields, "vcpus")
            val gpus = amount(fields, "gpus")
            if (vcpus == 0.0 && gpus == 0.0) fields.fail("vcpus", "must be more than 0")
            val shape = Shape.of(fields.text("shape")) ?: fields.fail("shape", "is unknown")
            return JobSpec(
                id = id,
                lane = shortText(fields, "lane"),
                crew = shortText(fields, "crew"),
                shape = shape,
                urgency = Urgency.of(fields.text("urgency")) ?: fields.fail("urgency", "is unknown"),
                pieces = pieces.toInt(),
                vcpus = vcpus,
                gpus = gpus,
                memoryGb = amount(fields, "memory_gb"),
                bundle = shortText(fields, "bundle"),
                pullGb = amount(fields, "pull_gb"),
                builds = builds,
                yard = fields.textOrNull("yard"),
                samePlace = fields.flag("same_place"),
                apart = fields.flag("apart"),
                loaners = fields.flag("loaners"),
                guessMicros = if (shape == Shape.STANDING && !fields.has("guess_s")) FOR_EVER_MICROS else duration(fields, "guess_s"),
                markEveryMicros = duration(fields, "mark_every_s"),
                markMicros = duration(fields, "mark_s"),
                dueMicros = if (fields.has("due_s")) duration(fields, "due_s") else null,
                awaits = awaits(fields),
            )
        }

        private fun awaits(fields: Fields): List<String> {
            val ids = fields.textsOrNull("awaits")?.distinct() ?: return emptyList()
            if (ids.size > MAX_AWAITS) fields.fail("awaits", "must name at most $MAX_AWAITS jobs")
            if (!ids.all(::isId)) fields.fail("awaits", "must hold job ids only")
            return ids
        }

        private fun shortText(fields: Fields, name: String): String =
            fields.text(name).also { if (it.isEmpty() || it.length > MAX_TEXT) fields.fail(name, "has no usable length") }

        private fun amount(fields: Fields, name: String): Double =
            fields.number(name).also { if (it < 0 || it > MAX_AMOUNT) fields.fail(name, "is out of range") }

        private fun duration(fields: Fields, name: String): Long {
            val seconds = fields.number(name)
            if (seconds < 0 || seconds > MAX_SECONDS) fields.fail(name, "is out of range")
            return (seconds * 1e6).toLong()
        }
    }
}
