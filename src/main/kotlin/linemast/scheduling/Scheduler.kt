package linemast.scheduling

import linemast.admission.FlowRoundRobin
import linemast.domain.Job
import linemast.domain.JobSpec
import linemast.domain.Machine
import linemast.domain.MachineType
import linemast.settings.Settings

/**
 * Assigns pending tasks to machines.
 *
 * Each cycle removes all assignments whose start has not been sent and assigns the tasks again by rank: jobs within their quota
 * first, then by priority, then by deadline, then by age. A start is sent in the response to the machine's next heartbeat.
 */
internal class Scheduler(private val cluster: Cluster, settings: Settings, private val maxTasks: Int, roundRobin: FlowRoundRobin? = null) {
    private val scarceTypes = ScarceTypes()
    private val expectedGangs = ExpectedGangs(cluster.quota)
    private val pendingReasons = PendingReasonLog()
    private val jobReadiness = JobReadiness(cluster, pendingReasons)
    private val machineReadiness = MachineReadiness(cluster, settings.workers.heartbeatIntervalMicros)

    private val timing = PreemptionTiming(settings)
    private val estimates = CompletionEstimates(cluster.runTimeEstimates)
    private val taskPreemption = TaskPreemption(cluster, timing.gracePeriodMicros)
    private val reservation = GangReservation(cluster, estimates)
    private val gangPreemption = GangPreemption(cluster, timing, estimates, taskPreemption, reservation)

    private val arrays = ArrayPlacement(cluster, pendingReasons)
    private val gangs = GangPlacement(cluster, gangPreemption, pendingReasons)
    private val longWaits = LongWaits(cluster)
    private val starvationGuard = StarvationGuard(cluster, roundRobin, arrays, gangs, reservation)

    /** See [ScarceTypes.isExcluded]. */
    fun isExcluded(type: MachineType, spot: Boolean, spec: JobSpec): Boolean = scarceTypes.isExcluded(type, spot, spec)

    /** See [MachineReadiness.hasRecentHeartbeat]. */
    fun hasRecentHeartbeat(machine: Machine, nowMicros: Long): Boolean = machineReadiness.hasRecentHeartbeat(machine, nowMicros)

    /** See [LongWaits.isDue]. */
    fun isLongWaitDue(nowMicros: Long): Boolean = longWaits.isDue(nowMicros)

    /** See [JobReadiness.isStartable]. */
    fun isStartable(job: Job, nowMicros: Long): Boolean = jobReadiness.isStartable(job, nowMicros)

    /** Assigns all pending tasks that can be assigned now, and preempts tasks where that is needed and allowed. */
    fun runCycle(nowMicros: Long) {
        cluster.removeAssignments()
        cluster.needsScheduling = false
        cluster.hasLimitedAssignments = false
        longWaits.reset()
        val ranked = rankJobs(nowMicros)
        val jobs = ranked.map { it.job }
        val ready = jobs.filter { it.pendingCount > 0 && jobReadiness.prepare(it, nowMicros) }
        if (ready.isEmpty()) return
        val headroom = QuotaHeadroom(jobs, cluster, expectedGangs)
        val cycle = SchedulingCycle(nowMicros, ranked, candidateMachines(nowMicros), headroom, cluster, maxTasks)
        starvationGuard.placeStarving(ready, cycle)
        placeByRank(ready, cycle)
        placeRemainingArrays(ready, cycle)
        placeAfterLongWait(ready, cycle)
        preemptForQuota(ready, cycle)
    }

    private fun rankJobs(nowMicros: Long): List<RankedJob> {
        val ranked = JobRanking.sorted(cluster.jobs.values, cluster.quota, cluster.planner, cluster.wallMicros())
        scarceTypes.learn(ranked.map { it.job.spec }, cluster.machineTypes.values, nowMicros)
        for ((job, withinQuota) in ranked) {
            job.withinQuota = withinQuota
            if (job.spec.isGang) expectedGangs.observe(job.spec)
        }
        return ranked
    }

    private fun candidateMachines(nowMicros: Long): CandidateMachines {
        val schedulable = cluster.machines.values.filter { machineReadiness.isSchedulable(it, nowMicros) }
        return CandidateMachines(schedulable, scarceTypes) { machineReadiness.nextHeartbeatOrder(it, nowMicros) }
    }

    /**
     * Places the [ready] jobs by rank. Arrays beyond their quota run at most their planned number of tasks on baseline machines.
     * Arrays within their quota have no such limit; otherwise jobs with planned tasks would take the capacity for which tasks were
     * preempted.
     */
    private fun placeByRank(ready: List<Job>, cycle: SchedulingCycle) {
        for (job in ready) {
            if (job.spec.isGang) {
                gangs.place(job, cycle)
            } else {
                arrays.place(job, cycle, maxOnBaseline = if (job.withinQuota) null else cluster.plannedBaselineTasks(job))
            }
        }
    }

    /**
     * Places arrays on the remaining free capacity, beyond their planned tasks on baseline machines: first on machines that are not
     * left to a job whose image they have, then on any machine.
     */
    private fun placeRemainingArrays(ready: List<Job>, cycle: SchedulingCycle) {
        val arrayJobs = ready.filter { !it.spec.isGang }
        for (job in arrayJobs) if (job.pendingCount > 0) arrays.place(job, cycle)
        cycle.respectsImageAffinity = false
        for (job in arrayJobs) if (job.pendingCount > 0) arrays.place(job, cycle)
    }

    /**
     * Places tasks of arrays that have waited for long on machines that are kept for other job classes, unless a job of such a class
     * waits now.
     */
    private fun placeAfterLongWait(ready: List<Job>, cycle: SchedulingCycle) {
        val longWaiting = ready.filter { !it.spec.isGang && it.placements.isEmpty() && longWaits.isLong(it, cycle.nowMicros) }
        if (longWaiting.isEmpty()) return
        val waitingClasses = ready.filter { it.pendingCount > 0 }.mapTo(HashSet()) { it.spec.jobClass }
        val releasedTypes = cluster.machineTypes.values.filterTo(HashSet()) { type ->
            val classes = scarceTypes.classesNeeding(type)
            classes.isNotEmpty() && classes.none { it in waitingClasses }
        }
        if (releasedTypes.isEmpty()) return
        longWaiting.forEach { arrays.place(it, cycle, maxTasks = TASKS_AFTER_LONG_WAIT, releasedTypes = releasedTypes) }
    }

    private fun preemptForQuota(ready: List<Job>, cycle: SchedulingCycle) {
        val preemption = QuotaPreemption(cycle, cluster, timing, estimates, taskPreemption)
        for (job in ready) {
            if (!job.withinQuota || job.spec.isGang || job.pendingCount == 0) continue
            preemption.preemptFor(job, minOf(job.pendingCount, cycle.headroom.remainingTasksOf(job)))
        }
    }

    private companion object {
        /** Few, since they may occupy a machine that a larger job needs soon. */
        const val TASKS_AFTER_LONG_WAIT = 2
    }
}
