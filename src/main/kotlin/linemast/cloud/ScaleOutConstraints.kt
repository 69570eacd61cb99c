package linemast.cloud

import linemast.domain.Job
import linemast.domain.MachineType

/** What bounds the scale-out for a job, beyond the machines that fit it. */
class ScaleOutConstraints(
    /** The number of tasks of a job that may run at once, at most. */
    val maxSlots: (Job) -> Double,
    /** Whether machines of a type, spot or not, must not be used for a job. */
    val isExcluded: (MachineType, Boolean, Job) -> Boolean,
)

/** Limits of one planner of scale-outs. */
internal class ScaleOutLimits(
    /** Requests that may be in flight at once. */
    val maxPendingRequests: Int,
    /** Vcpus of all machines beyond the baseline. */
    val maxVcpus: Double,
    /** Zones in which types without zones of their own are available. */
    val defaultZones: List<String>,
)
