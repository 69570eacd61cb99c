package linemast.control.dependencies

import linemast.domain.JobRecord

/** A job that is blocked by its dependencies, with its [record] as the store holds it at [revision]. */
class BlockedJob(val record: JobRecord, val revision: Long) {
    /** The id of the job. */
    val id: String get() = record.spec.id

    /** Ids of the jobs that it depends on, whether they are done or not. */
    val dependencies: List<String> get() = record.spec.dependencies

    /** Dependencies of which the store has not said yet that they are done. */
    internal val unmetDependencies = LinkedHashSet(record.spec.dependencies)

    /** Whether its release or cancellation is on its way to the store. */
    internal var isBeingCommitted = false
}
