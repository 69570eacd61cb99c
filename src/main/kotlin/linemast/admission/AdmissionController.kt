package linemast.admission

import linemast.domain.JobSpec
import linemast.time.Clock
import linemast.time.SECOND_MICROS

/** Admits or puts off new submissions at one controller, by the plan in force. */
class AdmissionController(private val flows: FlowClassifier, private val clock: Clock) {
    private val meter = DemandMeter()
    private var seenMicros = 0L

    /** The plan in force as this controller knows it. */
    var plan = AdmissionPlan.UNLIMITED
        private set

    /** Takes a plan that was read from the store; an older one than that in force changes nothing. */
    fun apply(next: AdmissionPlan) {
        val isNewer = compareValuesBy(next, plan, AdmissionPlan::fencingToken, AdmissionPlan::epoch) > 0
        if (!isNewer) return
        plan = next
        seenMicros = clock.nowMicros()
    }

    /** What to do with a submission that is not known to have been accepted before. */
    fun decide(spec: JobSpec): AdmissionDecision {
        val flow = flows.flowOf(spec)
        val now = clock.nowMicros()
        meter.recordOffered(flow, spec.id, now)
        // Without a leader nobody moves the arcs on: rather than to keep the rest out for ever, all are let in.
        if (now - seenMicros > PLAN_VALID_MICROS) return AdmissionDecision.Admitted
        return plan.decide(flow, spec.id)
    }

    /** A submission that was admitted has been accepted. */
    fun recordAccepted(id: String) = meter.recordAccepted(id, clock.nowMicros())

    /** What the flows ask for here. */
    fun demands(): Map<Flow, FlowDemand> = meter.demands(clock.nowMicros())

    private companion object {
        const val PLAN_VALID_MICROS = 60 * SECOND_MICROS
    }
}
