package linemast.control.dependencies

import linemast.domain.JobRecord

/** A job that is blocked by its dependencies, with its stored [record] as of [revision]. */
class BlockedJob(val record: JobRecord, val revision: Long) {
    /** The id of the job. */
    val id: String get() = record.spec.id

    /** Ids of the jobs that this job depends on, whether they are done or not. */
    val dependencies: List<String> get() = record.spec.dependencies

    /** Ids of the dependencies that are not known from the store to be done. */
    internal val unmetDependencies = LinkedHashSet(record.spec.dependencies)

    /** Whether a commit of the job's release or cancellation is in progress. */
    internal var isBeingCommitted = false
}
