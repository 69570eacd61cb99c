package linemast.autoscaling

import linemast.cloud.Fleet
import linemast.cloud.ScaleInBatch
import linemast.cloud.ScaleOutConstraints
import linemast.domain.Job
import linemast.domain.Machine
import linemast.domain.MachineShape
import linemast.planning.Planner
import linemast.scheduling.Cluster
import linemast.scheduling.JobRanking
import linemast.settings.Policy
import linemast.time.SECOND_MICROS
import org.slf4j.LoggerFactory

/**
 * Decides when to plan, and which machines to scale out and in.
 *
 * All jobs are replanned after each long interval ([Policy.fullPlanIntervalMicros]), new and changed ones within a second. Machines
 * are scaled out and in after each plan and after each scaling interval ([Policy.scalingIntervalMicros]).
 */
class Autoscaler(private val cluster: Cluster, private val fleet: Fleet, private val planner: Planner, policy: Policy) {
    private val log = LoggerFactory.getLogger(Autoscaler::class.java)
    private val planning = JobPlanning(cluster, planner)
    private val missingMachines = MissingMachines(cluster, fleet)
    private val demand = DemandMonitor()
    private val constraints = ScaleOutConstraints(::maxSlots, cluster::isExcluded)
    private val fullPlanTimer = IntervalTimer(policy.fullPlanIntervalMicros)
    private val newJobsTimer = IntervalTimer(NEW_JOBS_MICROS)
    private val scalingTimer = IntervalTimer(policy.scalingIntervalMicros)

    /** Whether all jobs have been replanned since the component that stores the plans last reset this flag. */
    var hasNewPlan = false

    /** Plans if a plan is due, and returns the scaling actions to take now. */
    fun step(wallMicros: Long, nowMicros: Long): ScalingActions {
        if (fleet.baselineMachines == null) return ScalingActions.NONE
        if (!cluster.isReconciled) return ScalingActions(emptyList(), missingMachines.scaleIns(nowMicros))
        demand.tick(nowMicros)
        val newJobCount = planning.newJobCount()
        // New jobs are planned soon but together, because each plan goes through the whole fleet.
        val hasNewJobs = newJobsTimer.isDue(nowMicros) && (newJobCount > 0 || planning.hasNewOrChangedStages())
        val isFullPlanDue = fullPlanTimer.isDue(nowMicros)
        val isPlanDue = hasNewJobs || isFullPlanDue
        if (!isPlanDue && !scalingTimer.isDue(nowMicros)) return ScalingActions.NONE
        val jobs = JobRanking.sorted(cluster.jobs.values, cluster.quota, planner, wallMicros).map { it.job }
        if (isPlanDue) {
            repeat(newJobCount) { demand.recordSubmission(nowMicros) }
            plan(jobs, isFullPlanDue, wallMicros, nowMicros)
        }
        scalingTimer.restart(nowMicros)
        return scale(jobs + planning.jobsStartingSoon(), nowMicros)
    }

    private fun plan(jobs: List<Job>, isFull: Boolean, wallMicros: Long, nowMicros: Long) {
        newJobsTimer.restart(nowMicros)
        planning.plan(jobs, isFull, wallMicros, nowMicros)
        if (!isFull) return
        fullPlanTimer.restart(nowMicros)
        hasNewPlan = true
    }

    /**
     * Makes scaling due at once, so that after a refused or partly granted request the next machine shape is requested before the
     * scaling interval ends.
     */
    fun scaleSoon() = scalingTimer.expire()

    private fun scale(jobs: List<Job>, nowMicros: Long): ScalingActions {
        val demands = planner.scaleOutDemands(jobs, { it.isBaseline }, nowMicros)
        val scaleOuts = fleet.planScaleOut(demands, cluster.machineTypes.values, cluster.machines, constraints, nowMicros)
        val scalingOut = demands.filter { it.slots >= 1.0 }.map { it.job }
        val scaleIns = fleet.planScaleIn(cluster.machines, neededBy(scalingOut, jobs), demand.hasCeased(), nowMicros)
        logScaleIns(scaleIns)
        return ScalingActions(scaleOuts, scaleIns)
    }

    private fun logScaleIns(scaleIns: ScaleInBatch) {
        for ((reason, names) in scaleIns.namesByReason()) log.info("scaling in {}: {}", names, reason)
    }

    /**
     * Returns a predicate that tells whether pending tasks could still use a machine. A baseline machine is kept for any job in
     * [all], any other machine only for jobs in [scalingOut], for which machines are requested. Machines of the same shape share
     * one result.
     */
    private fun neededBy(scalingOut: List<Job>, all: List<Job>): (Machine) -> Boolean {
        val needed = HashMap<MachineShape, Boolean>()
        val neededBaseline = HashMap<MachineShape, Boolean>()
        return { machine ->
            if (machine.isBaseline) {
                neededBaseline.getOrPut(machine.shape) { hasPendingTasksFor(machine.shape, all) }
            } else {
                needed.getOrPut(machine.shape) { hasPendingTasksFor(machine.shape, scalingOut) }
            }
        }
    }

    private fun hasPendingTasksFor(shape: MachineShape, jobs: List<Job>): Boolean =
        jobs.any { it.pendingCount > 0 && shape.allows(it.spec) && !cluster.isExcluded(shape.type, shape.spot, it) }

    /**
     * Returns for how many tasks of [job] machines are requested at most: those that its team's quota lets run at once, and not more
     * vcpus of machines than the quota has, although many small tasks need more machines. A gang runs as a whole or not at all.
     */
    private fun maxSlots(job: Job): Double {
        val team = cluster.quota.team(job.spec.team) ?: return 0.0
        if (job.spec.isGang || job.spec.vcpus <= 0) return job.spec.taskCount.toDouble()
        val vcpusPerTask = cluster.machineTypes.values.filter { it.canHost(job.spec) }.maxOfOrNull { it.plannedVcpus(job) }
        return team.maxVcpus / (vcpusPerTask ?: job.spec.vcpus)
    }

    private companion object {
        /** Minimum time between two plans for new jobs. */
        const val NEW_JOBS_MICROS = SECOND_MICROS
    }
}
