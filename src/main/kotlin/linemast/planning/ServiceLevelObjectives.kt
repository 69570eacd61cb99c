package linemast.planning

import linemast.domain.Job
import linemast.settings.Objective
import linemast.settings.Team

/**
 * What the users aim at for a job, and whether that can still be reached.
 *
 * When there is more work than room, the order in which it is done decides how many jobs reach their aims:
 * one that has missed all of them already should not make the next one miss as well.
 */
class ServiceLevelObjectives(objectives: List<Objective>, teams: List<Team>, private val runTimes: RunTimeEstimates) {
    private val limits = teams.associate { it.name to it.maxVcpus }
    private val byJobClass = objectives.filter { it.jobClass != null }.groupBy { it.jobClass }

    /** 0: all aims can still be reached; one more for each that cannot; back to 0 when it has waited too long. */
    fun countUnreachable(job: Job, wallMicros: Long): Int {
        val objectives = byJobClass[job.spec.jobClass] ?: return 0
        if (job.placements.any { !it.isAssigned }) return 0
        val age = wallMicros - job.readyWallMicros
        val run = runTimes.estimateMicros(job)
        val unreachable = objectives.count { objective -> latestStart(objective, job, run)?.let { age > it } ?: false }
        val patience = objectives.mapNotNull { latestStart(it, job, run) }.maxOrNull() ?: return unreachable
        return if (age > maxOf(patience, run) * MAX_DEFERRAL_FACTOR) 0 else unreachable
    }

    /** How long after it was ready the job may start and still reach the aim. */
    private fun latestStart(objective: Objective, job: Job, run: Long): Long? = when (objective) {
        is Objective.Wait -> objective.withinMicros
        is Objective.Finished -> objective.withinMicros - run
        is Objective.Deadline -> job.spec.deadlineMicros?.let {
            (it * objective.factor).toLong() - run * rounds(job) - (job.readyWallMicros - job.acceptedWallMicros)
        }
        is Objective.Guarantee, is Objective.Ignored -> null
    }

    /** How many times over its team's limit makes it use the same room: a job too large for its time is late from the start. */
    private fun rounds(job: Job): Int {
        val most = if (job.spec.vcpus > 0) limits[job.spec.team]?.div(job.spec.vcpus) ?: return 1 else return 1
        return Math.ceil((job.spec.taskCount - job.doneCount) / most).toInt().coerceAtLeast(1)
    }

    private companion object {
        /** No job is put off for longer than this many times its latest start. */
        const val MAX_DEFERRAL_FACTOR = 5
    }
}
