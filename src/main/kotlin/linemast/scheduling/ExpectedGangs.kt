package linemast.scheduling

import linemast.domain.JobSpec

/**
 * Predicts the next gang of each team: a gang like the last one that the team submitted.
 *
 * Part of a team's quota limit is reserved for its next gang, because preempting tasks for the gang would lose more work than
 * the reserved capacity costs.
 */
internal class ExpectedGangs(private val quota: QuotaUsage) {
    private val latestByTeam = HashMap<String, JobSpec>()

    /** Records [spec] as the latest gang of its team. */
    fun observe(spec: JobSpec) {
        latestByTeam[spec.team] = spec
    }

    /** Returns the resources that tasks of [spec] have to leave to the next gang of their team; null if there are none. */
    fun reservedAgainst(spec: JobSpec): Resources? {
        val gang = latestByTeam[spec.team]?.takeIf { it.priority < spec.priority } ?: return null
        val maxVcpus = (quota.team(gang.team)?.maxVcpus ?: 0.0) * MAX_SHARE_OF_LIMIT
        val vcpus = gang.taskCount * gang.vcpus
        return if (vcpus > maxVcpus) null else Resources(vcpus, gang.taskCount * gang.gpus)
    }

    private companion object {
        /** A gang that needs a larger share of its team's quota limit than this gets no reservation. */
        const val MAX_SHARE_OF_LIMIT = 0.25
    }
}
