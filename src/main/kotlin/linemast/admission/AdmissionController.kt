package linemast.admission

import linemast.domain.JobSpec
import linemast.time.Clock
import linemast.time.SECOND_MICROS

/** Admits or defers new submissions at one controller, by the plan in force, and meters the demand that it sees. */
class AdmissionController(private val flows: FlowClassifier, private val clock: Clock) {
    private val meter = DemandMeter()
    private var appliedMicros = 0L

    /** The plan in force as this controller knows it. */
    var plan = AdmissionPlan.UNLIMITED
        private set

    /** Applies a plan that was read from the store; one that is older than the plan in force changes nothing. */
    fun apply(newPlan: AdmissionPlan) {
        val isNewer = compareValuesBy(newPlan, plan, AdmissionPlan::fencingToken, AdmissionPlan::epoch) > 0
        if (!isNewer) return
        plan = newPlan
        appliedMicros = clock.nowMicros()
    }

    /** What to do with a submission that is not known to have been accepted before. */
    fun decide(spec: JobSpec): AdmissionDecision {
        val flow = flows.flowOf(spec)
        val now = clock.nowMicros()
        meter.recordOffered(flow, spec.id, now)
        // Without a leader nobody advances the ranges: rather than to keep the rest out for ever, all are admitted.
        if (now - appliedMicros > PLAN_VALID_MICROS) return AdmissionDecision.Admitted
        return plan.decide(flow, spec.id)
    }

    /** The submission of job [id], which was admitted, has been accepted. */
    fun recordAccepted(id: String) = meter.recordAccepted(id, clock.nowMicros())

    /** The demand of each flow at this controller. */
    fun demands(): Map<Flow, FlowDemand> = meter.demands(clock.nowMicros())

    private companion object {
        const val PLAN_VALID_MICROS = 60 * SECOND_MICROS
    }
}
