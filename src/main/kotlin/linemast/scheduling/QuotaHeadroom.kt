package linemast.scheduling

import linemast.domain.Job
import linemast.domain.PendingReason

/** Computes, in one scheduling cycle, how many tasks each team may still start within its quota limit. */
internal class QuotaHeadroom(jobs: List<Job>, private val cluster: Cluster, private val expectedGangs: ExpectedGangs) {
    private val pendingGangsByTeam: Map<String, List<Job>> =
        jobs.filter { it.spec.isGang && it.pendingCount > 0 }.groupBy { it.spec.team }

    private val unconfirmedByTeam = HashMap<String, Resources>()

    /**
     * Returns how many more tasks of [job] its team's quota limit allows, after deducting unconfirmed tasks of previous leaders and
     * the reservation for more urgent gangs of the team: those that are pending only because of the limit, and the expected next gang.
     */
    fun remainingTasksOf(job: Job): Int = remainingTasksOf(job, if (job.isStarving) null else expectedGangs.reservedAgainst(job.spec))

    /** Whether the quota limit allows one more task of [job] if nothing is reserved for the expected next gang of the team. */
    fun allowsTaskOf(job: Job): Boolean = remainingTasksOf(job, null) > 0

    private fun remainingTasksOf(job: Job, expectedGang: Resources?): Int {
        val unconfirmed = unconfirmedOf(job.spec.team)
        val pendingGangs = reservedForPendingGangs(job)
        val reserved = Resources(
            unconfirmed.vcpus + maxOf(pendingGangs.vcpus, expectedGang?.vcpus ?: 0.0),
            unconfirmed.gpus + maxOf(pendingGangs.gpus, expectedGang?.gpus ?: 0.0),
        )
        return cluster.quota.headroom(job.spec, reserved)
    }

    private fun reservedForPendingGangs(job: Job): Resources {
        var vcpus = 0.0
        var gpus = 0.0
        for (gang in pendingGangsByTeam[job.spec.team].orEmpty()) {
            if (gang === job || !isLimitedByQuotaAlone(gang) || !precedes(gang, job)) continue
            vcpus += gang.pendingCount * gang.spec.vcpus
            gpus += gang.pendingCount * gang.spec.gpus
        }
        return Resources(vcpus, gpus)
    }

    private fun isLimitedByQuotaAlone(gang: Job): Boolean = gang.pendingReason == PendingReason.QuotaLimit && gang.pendingCount > 0

    private fun precedes(gang: Job, job: Job): Boolean = when {
        gang.isStarving && job.isStarving -> gang.readyWallMicros < job.readyWallMicros
        gang.isStarving || job.isStarving -> gang.isStarving
        else -> gang.priority < job.priority
    }

    private fun unconfirmedOf(team: String): Resources = unconfirmedByTeam.getOrPut(team) {
        Resources(
            cluster.failover.unconfirmedAmount(team) { it.spec.vcpus },
            cluster.failover.unconfirmedAmount(team) { it.spec.gpus },
        )
    }
}
