package linemast.scheduling

import linemast.admission.FlowRoundRobin
import linemast.recovery.StateReconciliation

/** Features of the cluster state that are enabled by options. */
class OptionalPolicies(
    /** Round robin that selects the starving arrays to place first; null places all of them first. */
    val roundRobin: FlowRoundRobin? = null,
    /** Reconciles the state after an outage; null if the feature is not enabled. */
    val stateReconciliation: StateReconciliation? = null,
)
