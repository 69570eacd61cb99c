package linemast.scheduling

import linemast.admission.FlowRoundRobin
import linemast.recovery.StateReconciliation

/** Behaviour of the cluster state that options enable. */
class OptionalPolicies(
    /** Whose turn it is among starving jobs; null lets all of them go first. */
    val roundRobin: FlowRoundRobin? = null,
    /** The reconciliation after an outage; null if it is not enabled. */
    val recovery: StateReconciliation? = null,
)
