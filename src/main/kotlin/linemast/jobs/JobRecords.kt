package linemast.jobs

import linemast.state.Item
import linemast.wire.Fields

/** What a job is in the store, for good: the answer every node gives must come from here. */
enum class Verdict(val wire: String) {
    OPEN("open"),
    DONE("done"),
    WITHDRAWN("withdrawn"),
    ;

    val isFinal: Boolean get() = this != OPEN

    companion object {
        private val byWire = entries.associateBy { it.wire }

        fun of(wire: String): Verdict? = byWire[wire]
    }
}

/**
 * The keys a job has in the store.
 *
 * `j/ID` holds the verdict and stays for ever. `o/ID` holds the whole job while any of its tasks may be on
 * a machine, so that a take-over reads only what is still of interest. `d/ID/PART` hold the done sets.
 */
object JobKeys {
    const val OPEN_PREFIX = "o/"
    const val DONE_PREFIX = "d/"

    fun verdict(id: String) = "j/$id"

    fun open(id: String) = OPEN_PREFIX + id

    fun donePart(id: String, part: Int) = "$DONE_PREFIX$id/$part"
}

class VerdictRecord(val verdict: Verdict, val pieces: Int) {
    fun toMap(): Map<String, Any?> = mapOf("verdict" to verdict.wire, "pieces" to pieces)

    companion object {
        fun read(fields: Fields): VerdictRecord {
            val verdict = Verdict.of(fields.text("verdict")) ?: fields.fail("verdict", "is unknown")
            return VerdictRecord(verdict, fields.long("pieces").toInt())
        }
    }
}

/** The value of `o/ID`. */
class OpenRecord(
    val spec: JobSpec,
    /** Time of day of the submission; good enough to order jobs and to count deadlines from. */
    val acceptedWallMicros: Long,
    /** Whether a start may ever have been sent. */
    val opened: Boolean,
    val withdrawn: Boolean,
) {
    fun with(opened: Boolean = this.opened, withdrawn: Boolean = this.withdrawn) =
        OpenRecord(spec, acceptedWallMicros, opened, withdrawn)

    fun toMap(): Map<String, Any?> = mapOf(
        "job" to spec.toMap(),
        "at_us" to acceptedWallMicros,
        "opened" to opened,
        "withdrawn" to withdrawn,
    )

    companion object {
        fun read(fields: Fields) = OpenRecord(
            spec = JobSpec.read(fields.child("job")),
            acceptedWallMicros = fields.long("at_us"),
            opened = fields.flag("opened"),
            withdrawn = fields.flag("withdrawn"),
        )

        fun read(item: Item): OpenRecord = read(item.value)
    }
}
