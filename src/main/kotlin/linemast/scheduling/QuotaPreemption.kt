package linemast.scheduling

import linemast.domain.Job
import linemast.domain.Placement
import linemast.domain.StopReason

/**
 * Preempts tasks, in one scheduling cycle, for jobs that are within their team's quota.
 *
 * Victims are tasks of other teams that are less urgent or run beyond their team's quota. Jobs that are within their own team's
 * quota are exempt, and no team is brought below its quota.
 */
internal class QuotaPreemption(
    private val cycle: SchedulingCycle,
    private val cluster: Cluster,
    private val timing: PreemptionTiming,
    private val estimates: CompletionEstimates,
    private val taskPreemption: TaskPreemption,
) {
    /** Vcpus that each team uses beyond its quota, excluding tasks that are being stopped. */
    private val excessVcpus = HashMap<String, Double>()

    /** Tasks that are expected to complete soon enough for a job; each is claimed by one job only. */
    private val endingSoon = HashSet<Placement>()

    /** Arrays beyond their team's quota that have placements. */
    private val borrowingJobs: List<Job> by lazy {
        cycle.jobs.filter { !it.withinQuota && !it.job.spec.isGang && it.job.placements.isNotEmpty() }.map { it.job }
    }

    /** How many tasks are being stopped for each job. */
    private val stoppingFor: Map<Job?, Int> by lazy { cluster.stopping.groupingBy { it.preemptedFor }.eachCount() }

    /** Preempts as many tasks as [job] needs to start [missing] of its own, after deducting tasks that complete in time. */
    fun preemptFor(job: Job, missing: Int) {
        var left = missing - (stoppingFor[job] ?: 0)
        left -= claimEndingSoon(job, left)
        if (left <= 0) return
        for (victim in victimsFor(job)) {
            if (left <= 0) return
            val victimJob = victim.job ?: continue
            // Each preemption reduces the excess of the victim's team, so the check is repeated for each victim.
            if (!mayPreempt(victimJob, job)) continue
            excessVcpus[victimJob.spec.team] = excessVcpusOf(victimJob.spec.team) - victimJob.spec.vcpus
            taskPreemption.preempt(victim, StopReason.PreemptedForQuota(job.spec.team))
            victim.preemptedFor = job
            left--
        }
    }

    /** Returns the tasks that may be preempted for [job], the latest started first. */
    private fun victimsFor(job: Job): List<Placement> {
        val smallerTasksMakeRoom = cycle.isHeldBackByHeartbeats(job)
        return borrowingJobs.filter { mayPreempt(it, job) && (smallerTasksMakeRoom || it.spec.vcpus >= job.spec.vcpus) }
            .flatMap { it.placements }
            .filter { it.isPreemptible && it.machine.reservedFor == null }
            .filter { cycle.machines.isEligible(it.machine, job) && makesRoom(it, job) }
            .sortedByDescending { it.sentMicros }
    }

    /**
     * Whether one task of [job] fits once [victim] is preempted. On a machine with free resources whose heartbeats can list no more tasks
     * any victim makes room.
     */
    private fun makesRoom(victim: Placement, job: Job): Boolean {
        if (victim.requestedVcpus >= job.spec.vcpus) return true
        val capacity = victim.machine.capacity
        return capacity.fitsResources(job.spec) && !capacity.fitsHeartbeat(job)
    }

    private fun mayPreempt(victimJob: Job, job: Job): Boolean = victimJob.spec.team != job.spec.team &&
        (victimJob.priority > job.priority || excessVcpusOf(victimJob.spec.team) >= victimJob.spec.vcpus)

    private fun excessVcpusOf(team: String): Double =
        excessVcpus.getOrPut(team) { cluster.quota.excessVcpus(team) - taskPreemption.stoppingVcpus(team) }

    /**
     * Claims for [job] up to [max] tasks that are expected to complete soon enough, and returns how many it claimed. A job within its
     * quota is the first to get the capacity that they free.
     */
    private fun claimEndingSoon(job: Job, max: Int): Int {
        val windowMicros = timing.quotaWindowMicros(cluster.wallMicros() - job.readyWallMicros)
        if (windowMicros <= 0 || max <= 0) return 0
        val ending = cycle.machines.feasibleFor(job)
            .filter { !cycle.machines.isWithheld(job.spec, it) }
            .flatMap { it.placements.values }
            .filter {
                it !in endingSoon &&
                    estimates.endsWithin(it, cycle.nowMicros, windowMicros) &&
                    it.requestedVcpus >= job.spec.vcpus
            }
            .take(max)
            .toList()
        endingSoon += ending
        return ending.size
    }
}
