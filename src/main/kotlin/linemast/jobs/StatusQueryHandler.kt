package linemast.jobs

import linemast.domain.JobSpec
import linemast.domain.OutcomeRecord

/** Handles status queries. A job that depends on a cancelled one is cancelled before its status is returned. */
internal class StatusQueryHandler(
    private val outcomes: OutcomeReader,
    private val dependencyCheck: DependencyCheck,
    private val cancellation: CancellationHandler,
    private val statusReporter: JobStatusReporter,
) {
    /** Returns the status of the job with [id], read after this call began. Throws [linemast.store.StoreException] if the read fails. */
    suspend fun query(id: String): JobResponse {
        if (!JobSpec.isId(id)) return JobResponse.NotFound
        val record = outcomes.readFresh(id) ?: return JobResponse.NotFound
        return statusOf(id, record)
    }

    /**
     * Returns the status of the job with [id], whose outcome [record] was just read.
     *
     * The check of the dependencies reads from the store too. The outcome is therefore read again after the check, because it
     * may have become terminal in the meantime.
     */
    suspend fun statusOf(id: String, record: OutcomeRecord): JobResponse = when {
        record.outcome.isTerminal || record.dependencies.isEmpty() -> statusReporter.status(id, record)
        dependencyCheck.dependsOnCancelled(record.dependencies) -> cancellation.cancel(id)
        else -> statusReporter.status(id, outcomes.readFresh(id) ?: record)
    }
}
