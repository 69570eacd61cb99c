package linemast.scheduling

import linemast.domain.JobSpec
import linemast.settings.Team

/** Tracks the resources that the tasks of each team may be using, and compares them with the team's quota and quota limit. */
class QuotaUsage(teams: List<Team>) {
    private class Usage(val team: Team) {
        var vcpus = 0.0
        var gpus = 0.0
    }

    private val usageByTeam = teams.associate { it.name to Usage(it) }

    /** Returns the settings of team [name]; null if there is no such team. */
    fun team(name: String): Team? = usageByTeam[name]?.team

    /** Counts one more task of [spec]. */
    fun add(spec: JobSpec) = count(spec, 1)

    /** Counts one fewer task of [spec]. */
    fun remove(spec: JobSpec) = count(spec, -1)

    private fun count(spec: JobSpec, sign: Int) {
        val usage = usageByTeam[spec.team] ?: return
        usage.vcpus += sign * spec.vcpus
        usage.gpus += sign * spec.gpus
    }

    /** Returns how many more tasks of [spec] its team's quota limit allows after deducting [reserved]. */
    internal fun headroom(spec: JobSpec, reserved: Resources): Int {
        val usage = usageByTeam[spec.team] ?: return 0
        val byVcpus = tasksWithin(usage.team.maxVcpus - usage.vcpus - reserved.vcpus, spec.vcpus)
        val byGpus = tasksWithin(usage.team.maxGpus - usage.gpus - reserved.gpus, spec.gpus)
        return minOf(byVcpus, byGpus).coerceAtLeast(0)
    }

    /** Returns how many vcpus team [name] uses beyond its quota; negative while it uses less than its quota. */
    fun excessVcpus(name: String): Double = usageByTeam[name]?.let { it.vcpus - it.team.guaranteedVcpus } ?: 0.0

    private fun tasksWithin(free: Double, perTask: Double): Int =
        if (perTask <= 0.0) Int.MAX_VALUE else Math.floor(free / perTask + ROUNDING_TOLERANCE).toInt()
}
