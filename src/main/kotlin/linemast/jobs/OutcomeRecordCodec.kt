package linemast.jobs

import linemast.domain.JobOutcome
import linemast.domain.OutcomeRecord
import linemast.serialization.Fields

/** The stored form of job outcomes; see docs/glossary.md for the names. */
object OutcomeRecordCodec {
    private val outcomesByName = mapOf("open" to JobOutcome.OPEN, "done" to JobOutcome.DONE, "withdrawn" to JobOutcome.CANCELLED)
    private val namesByOutcome = outcomesByName.entries.associate { (name, outcome) -> outcome to name }

    /** The stored form of [record]. */
    fun encode(record: OutcomeRecord): Map<String, Any?> = buildMap {
        put("verdict", namesByOutcome.getValue(record.outcome))
        put("pieces", record.taskCount)
        if (record.dependencies.isNotEmpty()) put("awaits", record.dependencies)
    }

    /** Reads the stored form; throws [linemast.serialization.MalformedException] if a field is missing or has no known value. */
    fun decode(fields: Fields): OutcomeRecord {
        val outcome = outcomesByName[fields.text("verdict")] ?: fields.fail("verdict", "is unknown")
        return OutcomeRecord(outcome, fields.long("pieces").toInt(), fields.textsOrNull("awaits") ?: emptyList())
    }
}
