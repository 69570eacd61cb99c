package linemast.cloud

import linemast.domain.Job
import linemast.domain.MachineType

/** Constraints on the scale-out for a job, besides the requirement that its tasks fit on the machines. */
class ScaleOutConstraints(
    /** Maximum number of tasks of a job that may run at once. */
    val maxSlots: (Job) -> Double,
    /** Whether machines of a type, spot (if the second argument is true) or on-demand, must not be used for a job. */
    val isExcluded: (MachineType, Boolean, Job) -> Boolean,
)

/** Limits on all scale-outs of one [ScaleOutPlanner]. */
internal class ScaleOutLimits(
    /** Maximum number of requests in flight at once. */
    val maxPendingRequests: Int,
    /** Maximum vcpus of all machines beyond the baseline together. */
    val maxVcpus: Double,
    /** Zones in which machine types that list no zones are available. */
    val defaultZones: List<String>,
)
