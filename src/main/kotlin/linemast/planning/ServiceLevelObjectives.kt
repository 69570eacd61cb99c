package linemast.planning

import linemast.domain.Job
import linemast.settings.Objective
import linemast.settings.Team

/**
 * Computes which service-level objectives a job can still meet.
 *
 * When demand exceeds capacity, the order of jobs decides how many of them meet their objectives: a job that has already
 * missed all its objectives should not make the next job miss its own.
 */
class ServiceLevelObjectives(objectives: List<Objective>, teams: List<Team>, private val runTimes: RunTimeEstimates) {
    private val maxVcpusByTeam = teams.associate { it.name to it.maxVcpus }
    private val byJobClass = objectives.filter { it.jobClass != null }.groupBy { it.jobClass }

    /**
     * Returns how many objectives [job] can no longer meet. The result is 0 again once the job has waited too long, so that it is
     * not deferred forever.
     */
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

    /** Returns how long after it is ready [job] may start and still meet [objective]; null if [objective] does not bound the start. */
    private fun latestStartMicros(objective: Objective, job: Job, runMicros: Long): Long? = when (objective) {
        is Objective.Wait -> objective.withinMicros
        is Objective.Finished -> objective.withinMicros - runMicros
        is Objective.Deadline -> job.spec.deadlineMicros?.let { deadlineMicros ->
            val waitedMicros = job.readyWallMicros - job.acceptedWallMicros
            (deadlineMicros * objective.factor).toLong() - runMicros * sequentialRounds(job) - waitedMicros
        }
        is Objective.Guarantee, is Objective.Ignored -> null
    }

    /**
     * Returns how many tasks of [job] run one after another in each slot under its team's vcpu limit: a job that is too large for
     * its deadline under this limit is late from the start.
     */
    private fun sequentialRounds(job: Job): Int {
        val maxVcpus = maxVcpusByTeam[job.spec.team]
        if (maxVcpus == null || job.spec.vcpus <= 0) return 1
        val maxSlots = maxVcpus / job.spec.vcpus
        return Math.ceil((job.spec.taskCount - job.completedCount) / maxSlots).toInt().coerceAtLeast(1)
    }

    private companion object {
        /** No job is deferred for longer than this many times its latest start, or its run time if that is longer. */
        const val MAX_DEFERRAL_FACTOR = 5
    }
}
