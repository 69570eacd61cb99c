package linemast.jobs

import linemast.domain.JobSpec
import linemast.domain.OutcomeRecord

/** Handles status queries; a job that depends on a cancelled one is cancelled with it before its status is reported. */
internal class StatusQueryHandler(
    private val outcomes: OutcomeReader,
    private val dependencyCheck: DependencyCheck,
    private val cancellation: CancellationHandler,
    private val statusReporter: JobStatusReporter,
) {
    /** The status of the job with [id], read after this call began. Throws [linemast.store.StoreException] if it cannot be read. */
    suspend fun query(id: String): JobResponse {
        if (!JobSpec.isId(id)) return JobResponse.NotFound
        val record = outcomes.readFresh(id) ?: return JobResponse.NotFound
        return statusOf(id, record)
    }

    /**
     * The status of the job with [id], whose outcome was just read as [record].
     *
     * The check of its dependencies takes reads of its own, so the outcome is read once more after them: it may have
     * become terminal since.
     */
    suspend fun statusOf(id: String, record: OutcomeRecord): JobResponse = when {
        record.outcome.isTerminal || record.dependencies.isEmpty() -> statusReporter.status(id, record)
        dependencyCheck.dependsOnCancelled(record.dependencies) -> cancellation.cancel(id)
        else -> statusReporter.status(id, outcomes.readFresh(id) ?: record)
    }
}
