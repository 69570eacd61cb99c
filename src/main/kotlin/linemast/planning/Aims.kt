package linemast.planning

import linemast.settings.Objective
import linemast.workers.Job

/**
 * What the users aim at for a job, and whether that can still be reached.
 *
 * When there is more work than room, the order in which it is done decides how many jobs reach their aims:
 * one that has missed all of them already should not make the next one miss as well.
 */
class Aims(private val objectives: List<Objective>, private val times: TaskTimes) {
    private val byLane = objectives.filter { it.lane != null }.groupBy { it.lane }

    /** 0: all aims can still be reached; one more for each that cannot; back to 0 when it has waited too long. */
    fun missed(job: Job, wallMicros: Long): Int {
        val aims = byLane[job.spec.lane] ?: return 0
        if (job.placements.any { !it.isAssigned }) return 0
        val age = wallMicros - job.acceptedWallMicros
        val run = times.estimateMicros(job)
        val missed = aims.count { aim -> latestStart(aim, job, run)?.let { age > it } ?: false }
        val patience = aims.mapNotNull { latestStart(it, job, run) }.maxOrNull() ?: return missed
        return if (age > maxOf(patience, run) * PATIENCE) 0 else missed
    }

    /** How long after its submission the job may start and still reach the aim. */
    private fun latestStart(aim: Objective, job: Job, run: Long): Long? = when (aim.kind) {
        "wait" -> aim.withinMicros
        "finished" -> aim.withinMicros?.let { it - run }
        "deadline" -> job.spec.dueMicros?.let { (it * (aim.times ?: 1.0)).toLong() - run }
        else -> null
    }

    private companion object {
        /** No job is put off for longer than this many times its latest start. */
        const val PATIENCE = 5
    }
}
