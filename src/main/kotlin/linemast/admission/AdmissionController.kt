package linemast.admission

import linemast.domain.JobSpec
import linemast.time.Clock
import linemast.time.SECOND_MICROS

/** Admits or defers new submissions at one controller by the current admission plan, and measures the demand at that controller. */
class AdmissionController(private val flows: FlowClassifier, private val clock: Clock) {
    private val meter = DemandMeter()
    private var appliedMicros = 0L

    /** The latest plan that this controller has applied. */
    var plan = AdmissionPlan.UNLIMITED
        private set

    /** Applies a plan that was read from the store, unless it is older than the plan that is already applied. */
    fun apply(newPlan: AdmissionPlan) {
        val isNewer = compareValuesBy(newPlan, plan, AdmissionPlan::fencingToken, AdmissionPlan::epoch) > 0
        if (!isNewer) return
        plan = newPlan
        appliedMicros = clock.nowMicros()
    }

    /** Decides on a submission that this controller does not know as already accepted. */
    fun decide(spec: JobSpec): AdmissionDecision {
        val flow = flows.flowOf(spec)
        val now = clock.nowMicros()
        meter.recordOffered(flow, spec.id, now)
        // Without a leader the ranges do not advance. All jobs are then admitted: jobs outside the ranges would otherwise never be.
        if (now - appliedMicros > PLAN_VALID_MICROS) return AdmissionDecision.Admitted
        return plan.decide(flow, spec.id)
    }

    /** Records that the admitted submission of job [id] was accepted. */
    fun recordAccepted(id: String) = meter.recordAccepted(id, clock.nowMicros())

    /** Returns the demand of each flow at this controller. */
    fun demands(): Map<Flow, FlowDemand> = meter.demands(clock.nowMicros())

    private companion object {
        const val PLAN_VALID_MICROS = 60 * SECOND_MICROS
    }
}
