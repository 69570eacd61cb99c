package linemast.jobs

import linemast.domain.JobOutcome
import linemast.domain.JobRecord
import linemast.domain.OutcomeRecord
import linemast.serialization.Fields

/** The stored form of job records; see docs/glossary.md for the names. */
object JobRecordCodec {
    private val outcomes = mapOf("open" to JobOutcome.OPEN, "done" to JobOutcome.DONE, "withdrawn" to JobOutcome.CANCELLED)
    private val outcomeNames = outcomes.entries.associate { (name, outcome) -> outcome to name }

    /** The stored form of an outcome. */
    fun encode(record: OutcomeRecord): Map<String, Any?> = buildMap {
        put("verdict", outcomeNames.getValue(record.outcome))
        put("pieces", record.taskCount)
        if (record.dependencies.isNotEmpty()) put("awaits", record.dependencies)
    }

    /** Reads the stored form of an outcome. */
    fun decodeOutcome(fields: Fields): OutcomeRecord {
        val outcome = outcomes[fields.text("verdict")] ?: fields.fail("verdict", "is unknown")
        return OutcomeRecord(outcome, fields.long("pieces").toInt(), fields.textsOrNull("awaits") ?: emptyList())
    }

    /** The stored form of an open job. */
    fun encode(record: JobRecord): Map<String, Any?> = buildMap {
        put("job", JobCodec.encode(record.spec))
        put("at_us", record.acceptedWallMicros)
        put("opened", record.opened)
        put("withdrawn", record.cancelled)
        record.releasedWallMicros?.let { put("from_us", it) }
    }

    /** Reads the stored form of an open job. */
    fun decodeJob(fields: Fields) = JobRecord(
        spec = JobCodec.decode(fields.child("job")),
        acceptedWallMicros = fields.long("at_us"),
        opened = fields.flag("opened"),
        cancelled = fields.flag("withdrawn"),
        releasedWallMicros = fields.longOrNull("from_us"),
    )
}
