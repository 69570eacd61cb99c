package linemast.scheduling

import linemast.domain.JobSpec

/**
 * The gangs that teams are expected to submit next: like the last one of each.
 *
 * Part of a team's quota limit is reserved for its next gang: preempting tasks for it would lose more work than the reserved
 * capacity costs.
 */
internal class ExpectedGangs(private val quota: QuotaUsage) {
    private val latestByTeam = HashMap<String, JobSpec>()

    /** Remembers the gang [spec] as the latest of its team. */
    fun observe(spec: JobSpec) {
        latestByTeam[spec.team] = spec
    }

    /** What tasks of [spec] have to leave to the next gang of their team; null if nothing. */
    fun reservedAgainst(spec: JobSpec): Resources? {
        val gang = latestByTeam[spec.team]?.takeIf { it.priority < spec.priority } ?: return null
        val maxVcpus = (quota.team(gang.team)?.maxVcpus ?: 0.0) * MAX_SHARE_OF_LIMIT
        val vcpus = gang.taskCount * gang.vcpus
        return if (vcpus > maxVcpus) null else Resources(vcpus, gang.taskCount * gang.gpus)
    }

    private companion object {
        /** Nothing is reserved for a gang that needs a larger share of its team's limit. */
        const val MAX_SHARE_OF_LIMIT = 0.25
    }
}
