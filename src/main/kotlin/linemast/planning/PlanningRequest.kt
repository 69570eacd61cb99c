package linemast.planning

import linemast.domain.Job
import linemast.domain.Machine
import linemast.domain.MachineType

/**
 * Estimates for the machines that could be scaled out for a job.
 *
 * @property startupMicros how long the machines take to start.
 * @property vcpuPrice price of one vcpu for an hour.
 */
class ScaleOutEstimates(val startupMicros: (Job) -> Long, val vcpuPrice: (Job) -> Double)

/**
 * The input of one planning cycle.
 *
 * @property jobs jobs that may start, in the order in which they get capacity.
 * @property stages jobs that are blocked by their dependencies; they are planned last, on the capacity that [jobs] leave.
 * @property baselineMachines machines whose free capacity is forecast.
 * @property isExcluded whether a job must not use machines of a type, spot or on-demand, although its tasks fit on them.
 * @property scaleOutEstimates startup times and prices of the machines that could be scaled out.
 * @property replanAll whether to replan all jobs; otherwise only jobs without a plan that is up to date are planned.
 * @property wallMicros the current wall time, for deadlines.
 * @property nowMicros the current time on the steady clock.
 */
class PlanningRequest(
    val jobs: List<Job>,
    val stages: List<BlockedStage>,
    val baselineMachines: Collection<Machine>,
    val isExcluded: (type: MachineType, spot: Boolean, job: Job) -> Boolean,
    val scaleOutEstimates: ScaleOutEstimates,
    val replanAll: Boolean,
    val wallMicros: Long,
    val nowMicros: Long,
)
