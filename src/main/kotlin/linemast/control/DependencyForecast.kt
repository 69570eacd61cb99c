package linemast.control

import linemast.control.dependencies.DependencyGraph
import linemast.control.dependencies.InheritedRequirement
import linemast.control.dependencies.PredictedStart
import linemast.domain.Job
import linemast.domain.JobRecord
import linemast.planning.BlockedStage
import linemast.scheduling.Cluster

/** Applies priorities and deadlines of blocked jobs to the jobs they depend on, and predicts their starts for the planner. */
internal class DependencyForecast(private val term: LeaderTerm, private val cluster: Cluster, private val graph: DependencyGraph) {
    /** When the last update was made; null before the first one. */
    private var lastUpdateMicros: Long? = null

    /** Whether jobs may have inherited requirements, which have to be removed once no job is blocked any more. */
    var hasInheritedRequirements = false
        private set

    /** Updates requirements and predictions if the last update is at least [UPDATE_INTERVAL_MICROS] old. */
    fun updateIfDue() {
        val now = term.clock.nowMicros()
        lastUpdateMicros?.let { if (now - it < UPDATE_INTERVAL_MICROS) return }
        lastUpdateMicros = now
        hasInheritedRequirements = !graph.isEmpty
        val requirements = graph.inheritedRequirements(::durationMicros)
        cluster.jobs.values.forEach { it.applyRequirement(requirements[it.id]) }
        cluster.blockedStages = graph.predictedStarts(::remainingMicros, ::durationMicros).map { toBlockedStage(it, requirements) }
    }

    private fun toBlockedStage(start: PredictedStart, requirements: Map<String, InheritedRequirement>): BlockedStage {
        val record = start.job.record
        val job = Job(record.released(term.wallMicros() + start.startsInMicros), start.job.revision, inherited = false)
        job.applyRequirement(requirements[job.id])
        return BlockedStage(job, record.spec.dependencies.toSet(), start.startsInMicros)
    }

    private fun Job.applyRequirement(requirement: InheritedRequirement?) {
        priority = minOf(spec.priority, requirement?.priority ?: spec.priority)
        requiredEndWallMicros = requirement?.endByWallMicros
    }

    /** Estimates how long a job that has not started will take, from the end of its last dependency. */
    private fun durationMicros(record: JobRecord): Long =
        cluster.runTimeEstimates.estimateMicros(record.spec) + DEPENDENT_START_DELAY_MICROS

    /** Estimates how long a running job still takes; null for a job that is not running. */
    private fun remainingMicros(id: String): Long? {
        val job = cluster.jobs[id]?.takeIf { !it.cancelled } ?: return null
        val hasPendingTasks = job.pendingCount > 0
        if (hasPendingTasks && job.placements.isEmpty()) return null
        val taskMicros = cluster.runTimeEstimates.estimateMicros(job)
        val now = term.clock.nowMicros()
        val placedTasksMicros =
            job.placements.maxOfOrNull { if (it.isRunning) taskMicros - (now - it.runningSinceMicros) else taskMicros } ?: 0L
        val pendingTasksMicros = if (hasPendingTasks) taskMicros else 0L
        return maxOf(placedTasksMicros, pendingTasksMicros) + DEPENDENT_START_DELAY_MICROS
    }

    private companion object {
        const val UPDATE_INTERVAL_MICROS = 1_000_000L

        /** Time from the end of a job to the start of a dependent job: two heartbeats and an image fetch. */
        const val DEPENDENT_START_DELAY_MICROS = 4_000_000L
    }
}
