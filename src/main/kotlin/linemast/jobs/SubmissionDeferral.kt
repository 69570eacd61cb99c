package linemast.jobs

import linemast.admission.AdmissionController
import linemast.admission.AdmissionDecision
import linemast.domain.JobSpec
import linemast.domain.OutcomeRecord
import linemast.store.KeyValueStore
import linemast.store.RequestPriority
import linemast.store.StoreException
import org.slf4j.LoggerFactory

/** What admission control says of a submission. */
internal sealed interface AdmissionOutcome {
    /** It may be accepted now. */
    data object Admitted : AdmissionOutcome

    /** It was accepted before, with the outcome [record]. */
    data class AlreadyAccepted(val record: OutcomeRecord) : AdmissionOutcome

    /** It may be repeated after [retryAfterSeconds]. */
    data class Deferred(val retryAfterSeconds: Int) : AdmissionOutcome
}

/** Applies admission control to submissions of jobs without dependencies. */
internal class SubmissionDeferral(private val admission: AdmissionController, private val store: KeyValueStore) {
    private val log = LoggerFactory.getLogger(SubmissionDeferral::class.java)

    /** Decides on the submission of [spec]. One that was accepted before stays accepted, whatever is limited now. */
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

    /** Takes note that the job with [id] has been accepted. */
    fun recordAccepted(id: String) = admission.recordAccepted(id)

    /**
     * The outcome of a job whose submission is deferred, if it can be read without delaying other calls. A submission
     * repeated right after its acceptance is still admitted, and so finds the outcome without this read.
     */
    private suspend fun readInBackground(id: String): OutcomeRecord? = try {
        readStoredRecord { store.readOutcome(id, RequestPriority.BACKGROUND) }?.record
    } catch (e: StoreException) {
        log.debug("{}: deferred without reading its outcome: {}", id, e.message)
        null
    }
}
