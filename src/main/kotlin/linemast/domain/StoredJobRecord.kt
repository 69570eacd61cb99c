package linemast.domain

/** A job's [record] as the store holds it at [revision]. */
class StoredJobRecord(val record: JobRecord, val revision: Long)
