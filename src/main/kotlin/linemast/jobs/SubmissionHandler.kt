package linemast.jobs

import linemast.domain.JobOutcome
import linemast.domain.JobSpec
import linemast.domain.MachineType
import linemast.serialization.Cbor

/** Handles submissions. Submissions are idempotent: the response to a repeated submission of an accepted job is its status. */
internal class SubmissionHandler(
    private val feasibility: JobFeasibility,
    private val machineTypes: () -> List<MachineType>?,
    private val outcomes: OutcomeReader,
    private val dependencyCheck: DependencyCheck,
    private val statusQuery: StatusQueryHandler,
    private val statusReporter: JobStatusReporter,
    private val jobWriter: JobWriter,
    /** Defers submissions that exceed the share of their flow; null if all submissions are admitted. */
    private val deferral: SubmissionDeferral?,
) {
    /**
     * Accepts, rejects or defers the job in a request's [body].
     *
     * Throws [linemast.serialization.MalformedException] if the body is malformed or the job is too large to be stored, and
     * [linemast.store.StoreException] if the store returns no result.
     */
    suspend fun submit(body: ByteArray): JobResponse {
        val spec = JobSpecCodec.decode(Cbor.decodeMap(body))
        outcomes.cachedTerminal(spec.id)?.let { return statusReporter.status(spec.id, it) }
        val types = machineTypes() ?: return JobResponse.Unavailable
        if (!feasibility.canEverRun(spec, types)) {
            // An accepted job stays accepted even if the machine types have changed since.
            return statusIfAccepted(spec.id) ?: JobResponse.Rejected("this job can never run")
        }
        if (spec.dependencies.isEmpty()) return submitIndependent(spec, types)
        // An accepted job keeps its dependencies, whatever dependencies a repeated submission has.
        return statusIfAccepted(spec.id) ?: submitDependent(spec.withKnownMachineTypes(types))
    }

    private suspend fun statusIfAccepted(id: String): JobResponse? = outcomes.readFresh(id)?.let { statusQuery.statusOf(id, it) }

    private suspend fun submitIndependent(spec: JobSpec, types: List<MachineType>): JobResponse =
        when (val admission = deferral?.admit(spec) ?: AdmissionOutcome.Admitted) {
            AdmissionOutcome.Admitted -> accept(spec.withKnownMachineTypes(types), JobOutcome.OPEN)
            is AdmissionOutcome.AlreadyAccepted -> statusQuery.statusOf(spec.id, admission.record)
            is AdmissionOutcome.Deferred -> JobResponse.Deferred(admission.retryAfterSeconds)
        }

    /** Accepts a job if all its dependencies were accepted. A job that depends on a cancelled one is stored as cancelled. */
    private suspend fun submitDependent(spec: JobSpec): JobResponse {
        val dependencies = BulkOutcomeReader(outcomes).read(spec.dependencies)
        spec.dependencies.firstOrNull { it !in dependencies }?.let { missing ->
            return JobResponse.Rejected("it depends on $missing, which was never accepted")
        }
        if (dependencies.values.all { it.outcome == JobOutcome.DONE }) return accept(spec.copy(dependencies = emptyList()), JobOutcome.OPEN)
        val isCancelled = dependencyCheck.dependsOnCancelled(spec.dependencies)
        return accept(spec, if (isCancelled) JobOutcome.CANCELLED else JobOutcome.OPEN)
    }

    private suspend fun accept(spec: JobSpec, outcome: JobOutcome): JobResponse = when (jobWriter.write(spec, outcome)) {
        JobWriteResult.WRITTEN -> {
            deferral?.recordAccepted(spec.id)
            JobResponse.Accepted(spec.id, if (outcome.isTerminal) JobState.CANCELLED else JobState.PENDING)
        }
        JobWriteResult.EXISTS -> reportAccepted(spec.id)
        JobWriteResult.FAILED -> JobResponse.Unavailable
    }

    private suspend fun reportAccepted(id: String): JobResponse {
        val record = outcomes.readFresh(id) ?: return JobResponse.Unavailable
        deferral?.recordAccepted(id)
        return statusQuery.statusOf(id, record)
    }
}
