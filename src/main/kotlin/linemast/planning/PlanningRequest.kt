package linemast.planning

import linemast.domain.Job
import linemast.domain.Machine
import linemast.domain.MachineType

/**
 * What is known of the machines that could be scaled out for a job.
 *
 * @property startupMicros how long they take to start.
 * @property vcpuPrice price of one vcpu for an hour.
 */
class ScaleOutEstimates(val startupMicros: (Job) -> Long, val vcpuPrice: (Job) -> Double)

/**
 * What one planning cycle starts from.
 *
 * @property jobs jobs that may start, in the order in which they get capacity.
 * @property stages jobs that wait for others; they are planned last, on the capacity that is left.
 * @property baselineMachines machines whose free capacity is forecast.
 * @property isExcluded whether machines of a type, spot or not, are kept from a job that would fit them.
 * @property scaleOutEstimates start times and prices of the machines that could be scaled out.
 * @property replanAll plans all jobs anew; otherwise only those without a plan that still holds.
 * @property wallMicros now on the wall clock, which deadlines are on.
 * @property nowMicros now on the steady clock.
 */
class PlanningRequest(
    val jobs: List<Job>,
    val stages: List<WaitingStage>,
    val baselineMachines: Collection<Machine>,
    val isExcluded: (type: MachineType, spot: Boolean, job: Job) -> Boolean,
    val scaleOutEstimates: ScaleOutEstimates,
    val replanAll: Boolean,
    val wallMicros: Long,
    val nowMicros: Long,
)
