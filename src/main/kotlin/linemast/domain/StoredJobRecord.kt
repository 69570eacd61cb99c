package linemast.domain

/** A job's [record] in the store, as of [revision]. */
class StoredJobRecord(val record: JobRecord, val revision: Long)
