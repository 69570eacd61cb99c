package linemast.jobs

import linemast.admission.AdmissionController
import linemast.admission.AdmissionDecision
import linemast.domain.JobSpec
import linemast.domain.OutcomeRecord
import linemast.store.KeyValueStore
import linemast.store.RequestPriority
import linemast.store.StoreException
import org.slf4j.LoggerFactory

/** Decision of admission control on a submission. */
internal sealed interface AdmissionOutcome {
    /** The submission may be accepted now. */
    data object Admitted : AdmissionOutcome

    /** The job was accepted before; its outcome is [record]. */
    data class AlreadyAccepted(val record: OutcomeRecord) : AdmissionOutcome

    /** The submission is not accepted now and may be repeated after [retryAfterSeconds]. */
    data class Deferred(val retryAfterSeconds: Int) : AdmissionOutcome
}

/** Applies admission control to submissions of jobs without dependencies. */
internal class SubmissionDeferral(private val admission: AdmissionController, private val store: KeyValueStore) {
    private val log = LoggerFactory.getLogger(SubmissionDeferral::class.java)

    /** Decides on the submission of [spec]. A job that was accepted before stays accepted, whatever the current limits are. */
    suspend fun admit(spec: JobSpec): AdmissionOutcome {
        val decision = admission.decide(spec) as? AdmissionDecision.Deferred ?: return AdmissionOutcome.Admitted
        val record = readInBackground(spec.id)
        if (record != null) {
            admission.recordAccepted(spec.id)
            return AdmissionOutcome.AlreadyAccepted(record)
        }
        log.debug("{}: deferred for {} s", spec.id, decision.retryAfterSeconds)
        return AdmissionOutcome.Deferred(decision.retryAfterSeconds)
    }

    /** Records that the job with [id] was accepted. */
    fun recordAccepted(id: String) = admission.recordAccepted(id)

    /**
     * Reads the outcome of a job whose submission is deferred, if this is possible without a delay of other calls; otherwise
     * returns null. A submission that is repeated soon after its acceptance is admitted, and so does not need this read.
     */
    private suspend fun readInBackground(id: String): OutcomeRecord? = try {
        readStoredRecord { store.readOutcome(id, RequestPriority.BACKGROUND) }?.record
    } catch (e: StoreException) {
        log.debug("{}: deferred without reading its outcome: {}", id, e.message)
        null
    }
}
