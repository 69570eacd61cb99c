package linemast.jobs

import linemast.domain.JobOutcome
import linemast.domain.OutcomeRecord
import linemast.serialization.Fields

/** Encodes and decodes the stored outcomes of jobs; docs/glossary.md explains the names of the fields. */
object OutcomeRecordCodec {
    private val outcomesByName = mapOf("open" to JobOutcome.OPEN, "done" to JobOutcome.DONE, "withdrawn" to JobOutcome.CANCELLED)
    private val namesByOutcome = outcomesByName.entries.associate { (name, outcome) -> outcome to name }

    /** Encodes [record]. */
    fun encode(record: OutcomeRecord): Map<String, Any?> = buildMap {
        put("verdict", namesByOutcome.getValue(record.outcome))
        put("pieces", record.taskCount)
        if (record.dependencies.isNotEmpty()) put("awaits", record.dependencies)
    }

    /** Decodes a stored outcome; throws [linemast.serialization.MalformedException] if a field is missing or has an unknown value. */
    fun decode(fields: Fields): OutcomeRecord {
        val outcome = outcomesByName[fields.text("verdict")]
            ?: fields.fail("verdict", "must be one of open, done, withdrawn")
        return OutcomeRecord(outcome, fields.long("pieces").toInt(), fields.textsOrNull("awaits") ?: emptyList())
    }
}
