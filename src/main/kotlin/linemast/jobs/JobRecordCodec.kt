package linemast.jobs

import linemast.domain.JobRecord
import linemast.serialization.Fields

/** Encodes and decodes the stored records of open jobs; docs/glossary.md explains the names of the fields. */
object JobRecordCodec {
    /** Encodes [record]. */
    fun encode(record: JobRecord): Map<String, Any?> = buildMap {
        put("job", JobSpecCodec.encode(record.spec))
        put("at_us", record.acceptedWallMicros)
        put("opened", record.activated)
        put("withdrawn", record.cancelled)
        record.releasedWallMicros?.let { put("from_us", it) }
    }

    /** Decodes a stored record; throws [linemast.serialization.MalformedException] if a field is missing or out of range. */
    fun decode(fields: Fields) = JobRecord(
        spec = JobSpecCodec.decode(fields.child("job")),
        acceptedWallMicros = fields.long("at_us"),
        activated = fields.flag("opened"),
        cancelled = fields.flag("withdrawn"),
        releasedWallMicros = fields.longOrNull("from_us"),
    )
}
