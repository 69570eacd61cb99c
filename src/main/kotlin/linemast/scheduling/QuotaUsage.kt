package linemast.scheduling

import linemast.domain.JobSpec
import linemast.settings.Team

/** What each team's tasks may be using at this moment, and how that stands to its limits. */
class QuotaUsage(teams: List<Team>) {
    private class Amounts(val team: Team) {
        var cpus = 0.0
        var gpus = 0.0
    }

    private val amounts = teams.associate { it.name to Amounts(it) }

    /** The team's settings; null if there is no such team. */
    fun team(name: String): Team? = amounts[name]?.team

    /** Counts one task of [spec] in ([sign] 1) or out (-1). */
    fun add(spec: JobSpec, sign: Int) {
        val amount = amounts[spec.team] ?: return
        amount.cpus += sign * spec.vcpus
        amount.gpus += sign * spec.gpus
    }

    /** How many more tasks of [spec] the team's limit allows beside [unseenCpus] and [unseenGpus]. */
    fun room(spec: JobSpec, unseenCpus: Double, unseenGpus: Double): Int {
        val amount = amounts[spec.team] ?: return 0
        val byCpus = fitting(amount.team.cpusMax - amount.cpus - unseenCpus, spec.vcpus)
        val byGpus = fitting(amount.team.gpusMax - amount.gpus - unseenGpus, spec.gpus)
        return minOf(byCpus, byGpus).coerceAtLeast(0)
    }

    /** How much of its cpus a team uses beyond its guarantee. */
    fun beyondQuota(name: String): Double = amounts[name]?.let { it.cpus - it.team.cpus } ?: 0.0

    private fun fitting(left: Double, each: Double): Int = if (each <= 0.0) Int.MAX_VALUE else Math.floor(left / each + EPSILON).toInt()

    private companion object {
        const val EPSILON = 1e-6
    }
}
