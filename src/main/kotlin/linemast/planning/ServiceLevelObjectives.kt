package linemast.planning

import linemast.domain.Job
import linemast.settings.Objective
import linemast.settings.Team

/**
 * Which service-level objectives a job can still meet.
 *
 * When there is more work than capacity, the order in which it is done decides how many jobs meet their objectives: one that
 * has missed all of them already should not make the next one miss them as well.
 */
class ServiceLevelObjectives(objectives: List<Objective>, teams: List<Team>, private val runTimes: RunTimeEstimates) {
    private val maxVcpusByTeam = teams.associate { it.name to it.maxVcpus }
    private val byJobClass = objectives.filter { it.jobClass != null }.groupBy { it.jobClass }

    /** How many objectives [job] cannot meet any more; 0 again once it has waited too long, so that it is not deferred for ever. */
    fun countUnreachable(job: Job, wallMicros: Long): Int {
        val objectives = byJobClass[job.spec.jobClass] ?: return 0
        if (job.placements.any { !it.isAssigned }) return 0
        val ageMicros = wallMicros - job.readyWallMicros
        val runMicros = runTimes.estimateMicros(job)
        val latestStarts = objectives.mapNotNull { latestStartMicros(it, job, runMicros) }
        val last = latestStarts.maxOrNull() ?: return 0
        if (ageMicros > maxOf(last, runMicros) * MAX_DEFERRAL_FACTOR) return 0
        return latestStarts.count { ageMicros > it }
    }

    /** How long after it was ready [job] may start and still meet the objective; null if the objective does not bound that. */
    private fun latestStartMicros(objective: Objective, job: Job, runMicros: Long): Long? = when (objective) {
        is Objective.Wait -> objective.withinMicros
        is Objective.Finished -> objective.withinMicros - runMicros
        is Objective.Deadline -> job.spec.deadlineMicros?.let { deadlineMicros ->
            val waitedMicros = job.readyWallMicros - job.acceptedWallMicros
            (deadlineMicros * objective.factor).toLong() - runMicros * sequentialRounds(job) - waitedMicros
        }
        is Objective.Guarantee, is Objective.Ignored -> null
    }

    /** How many times over its team's limit makes it use the same slots: a job too large for its time is late from the start. */
    private fun sequentialRounds(job: Job): Int {
        val maxVcpus = maxVcpusByTeam[job.spec.team]
        if (maxVcpus == null || job.spec.vcpus <= 0) return 1
        val maxSlots = maxVcpus / job.spec.vcpus
        return Math.ceil((job.spec.taskCount - job.completedCount) / maxSlots).toInt().coerceAtLeast(1)
    }

    private companion object {
        /** No job is deferred for longer than this many times its latest start. */
        const val MAX_DEFERRAL_FACTOR = 5
    }
}
