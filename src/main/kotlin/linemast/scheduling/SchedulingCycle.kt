package linemast.scheduling

import linemast.domain.Job
import linemast.domain.Machine
import linemast.domain.PendingReason
import linemast.domain.Placement

/** What one pass of placement works with: jobs in their order, machines by their room, and what teams may still use. */
internal class SchedulingCycle(
    val nowMicros: Long,
    val jobs: List<JobRanking.Ranked>,
    val machines: CandidateMachines,
    private val cluster: Cluster,
) {
    private class Amounts(val cpus: Double, val gpus: Double)

    private val unconfirmed = HashMap<String, Amounts>()

    /** Gangs that wait for tasks to be placed, by team. */
    private val gangs: Map<String, List<Job>> =
        jobs.map { it.job }.filter { it.spec.isGang && it.pendingCount > 0 }.groupBy { it.spec.team }

    fun place(placement: Placement): Placement = placement.also { machines.changed(it, put = true) }

    fun unplace(placement: Placement) {
        cluster.remove(placement)
        machines.changed(placement, put = false)
    }

    /**
     * How many more tasks of [job] its team's limit allows beside what may run unseen and what is left to the team's
     * more urgent gangs: to those that nothing else holds back, and to [next], which has not come yet.
     */
    fun quotaHeadroom(job: Job, next: ReservedCapacity?): Int {
        val hidden = unconfirmedOf(job.spec.team)
        var cpus = 0.0
        var gpus = 0.0
        for (gang in gangs[job.spec.team].orEmpty()) {
            if (gang === job ||
                gang.pendingReason != PendingReason.QuotaLimit ||
                gang.pendingCount == 0 ||
                !comesBefore(gang, job)
            ) {
                continue
            }
            cpus += gang.pendingCount * gang.spec.vcpus
            gpus += gang.pendingCount * gang.spec.gpus
        }
        return cluster.quota.room(
            job.spec,
            hidden.cpus + maxOf(cpus, next?.cpus ?: 0.0),
            hidden.gpus + maxOf(gpus, next?.gpus ?: 0.0),
        )
    }

    /** Whether machines are left to jobs whose image they have. */
    var heedsImages = true
    private val imageAffinity = ImageAffinity(jobs) { quotaHeadroom(it, null) > 0 }

    /** Whether [machine] is left to another job for now. */
    fun isLeftToAnother(job: Job, machine: Machine): Boolean = heedsImages && imageAffinity.prefersAnother(job, machine)

    class ReservedCapacity(val cpus: Double, val gpus: Double)

    private fun unconfirmedOf(team: String): Amounts = unconfirmed.getOrPut(team) {
        Amounts(cluster.failover.unconfirmedAmount(team) { it.spec.vcpus }, cluster.failover.unconfirmedAmount(team) { it.spec.gpus })
    }

    private fun comesBefore(gang: Job, job: Job): Boolean = when {
        gang.isStarving && job.isStarving -> gang.readyWallMicros < job.readyWallMicros
        gang.isStarving || job.isStarving -> gang.isStarving
        else -> gang.priority < job.priority
    }
}
