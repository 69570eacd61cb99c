package linemast.autoscaling

import linemast.domain.Job
import linemast.planning.BlockedStage
import linemast.planning.Planner
import linemast.planning.PlanningRequest
import linemast.planning.ScaleOutEstimates
import linemast.scheduling.Cluster
import org.slf4j.LoggerFactory

/** Keeps the plans of all jobs up to date, including those of pipeline stages that may not start yet. */
internal class JobPlanning(private val cluster: Cluster, private val planner: Planner) {
    private val log = LoggerFactory.getLogger(JobPlanning::class.java)
    private val estimates = MachineTypeEstimates(cluster)
    private val plannedIds = HashSet<String>()
    private var blockedStages: List<BlockedStage> = emptyList()
    private var blockedIds: Set<String> = emptySet()

    /** Returns the number of jobs that have arrived since the latest plan. */
    fun newJobCount(): Int = cluster.jobs.values.count { it.id !in plannedIds && !it.cancelled && !it.finished }

    /** Whether a blocked stage has no plan yet, or the plan of a job is outdated. */
    fun hasNewOrChangedStages(): Boolean =
        cluster.blockedStages.any { it.job.id !in blockedIds } || cluster.jobs.values.any(planner::isOutdated)

    /** Returns the blocked jobs that start so soon that machines have to be requested for them now. */
    fun jobsStartingSoon(): List<Job> = blockedStages.filter { it.startsInMicros <= estimates.scaleOutLeadMicros(it.job) }.map { it.job }

    /**
     * Plans [jobs], which are in the order in which they get capacity: all of them if [isFull], otherwise only those without a plan
     * that is up to date.
     */
    fun plan(jobs: List<Job>, isFull: Boolean, wallMicros: Long, nowMicros: Long) {
        val baseline = cluster.machines.values.filter { it.isBaseline && !it.isDraining && nowMicros < it.leaseEndMicros }
        // Blocked stages get the capacity that the other jobs leave, and are planned again when they are released.
        planner.removePlans(blockedIds)
        blockedStages = cluster.blockedStages.filter { it.job.id !in cluster.jobs }
        blockedIds = blockedStages.mapTo(HashSet()) { it.job.id }
        planner.plan(
            PlanningRequest(
                jobs,
                stages = blockedStages,
                baselineMachines = baseline,
                isExcluded = cluster::isExcluded,
                ScaleOutEstimates(estimates::startupMicros, estimates::pricePerVcpu),
                replanAll = isFull,
                wallMicros,
                nowMicros,
            ),
        )
        plannedIds.clear()
        jobs.forEach { plannedIds += it.id }
        planner.retainPlans(plannedIds + blockedIds)
        cluster.plannedBaselineTasks = { job -> baselineSlots(job, nowMicros) }
        cluster.needsScheduling = true
        if (isFull) logPlans(jobs)
    }

    private fun baselineSlots(job: Job, nowMicros: Long): Int {
        val plan = planner.planOf(job) ?: return 0
        return Math.ceil(plan.baselineSlots(nowMicros)).toInt()
    }

    private fun logPlans(jobs: List<Job>) {
        for (job in jobs) {
            val plan = planner.planOf(job) ?: continue
            log.debug(
                "plan of job {}: baseline {} tasks, scaled out {} tasks ({} at once), backup {} slots, top-up {} tasks",
                job.id,
                plan.baseline.sum().toInt(),
                plan.scaleOut.sum().toInt(),
                plan.scaleOutSlots,
                plan.backupSlots,
                plan.topUpTasks,
            )
        }
    }
}
