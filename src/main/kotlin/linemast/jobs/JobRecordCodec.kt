package linemast.jobs

import linemast.domain.JobRecord
import linemast.serialization.Fields

/** The stored form of jobs that are neither done nor cancelled; see docs/glossary.md for the names. */
object JobRecordCodec {
    /** The stored form of [record]. */
    fun encode(record: JobRecord): Map<String, Any?> = buildMap {
        put("job", JobSpecCodec.encode(record.spec))
        put("at_us", record.acceptedWallMicros)
        put("opened", record.activated)
        put("withdrawn", record.cancelled)
        record.releasedWallMicros?.let { put("from_us", it) }
    }

    /** Reads the stored form; throws [linemast.serialization.MalformedException] if a field is missing or out of range. */
    fun decode(fields: Fields) = JobRecord(
        spec = JobSpecCodec.decode(fields.child("job")),
        acceptedWallMicros = fields.long("at_us"),
        activated = fields.flag("opened"),
        cancelled = fields.flag("withdrawn"),
        releasedWallMicros = fields.longOrNull("from_us"),
    )
}
