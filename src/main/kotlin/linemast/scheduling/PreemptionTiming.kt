package linemast.scheduling

import linemast.domain.Job
import linemast.settings.Objective
import linemast.settings.Settings
import linemast.settings.shortestWaitMicros

/** Determines how long jobs may wait for running tasks to complete before tasks are preempted for them. */
internal class PreemptionTiming(settings: Settings) {
    private val quotaObjectiveMicros =
        settings.objectives.filterIsInstance<Objective.Guarantee>().minOfOrNull { it.withinMicros } ?: DEFAULT_QUOTA_OBJECTIVE_MICROS
    private val waitObjectivesMicros = settings.objectives.shortestWaitMicros()

    /** Time from the decision to preempt a task until another one runs in its place: two heartbeats and an image fetch. */
    private val replacementMicros = settings.workers.heartbeatIntervalMicros * 2 + IMAGE_FETCH_MICROS

    /** Time that a preempted task gets in addition to the time of writing a checkpoint. */
    val gracePeriodMicros = settings.workers.gangPeerTimeoutMicros

    /**
     * Returns for how much longer a job within its quota that has been ready for [ageMicros] can wait for running tasks to complete;
     * zero or negative once it cannot wait any longer.
     *
     * The window is long enough that most of the capacity is freed without preemption, and short enough that a preemption at its
     * end still helps.
     */
    fun quotaWindowMicros(ageMicros: Long): Long = quotaObjectiveMicros - ageMicros - replacementMicros

    /** Returns for how much longer [gang], ready for [ageMicros], can wait and still meet the wait objective of its job class. */
    fun gangWindowMicros(gang: Job, ageMicros: Long): Long {
        val objectiveMicros = waitObjectivesMicros[gang.spec.jobClass] ?: 0
        return (minOf(objectiveMicros, MAX_GANG_WINDOW_MICROS) - ageMicros - replacementMicros).coerceAtLeast(0)
    }

    private companion object {
        /** The objective for jobs within their quota if the settings contain none. */
        const val DEFAULT_QUOTA_OBJECTIVE_MICROS = 10_000_000L

        /** Upper bound of the window of a gang, whatever its objective. */
        const val MAX_GANG_WINDOW_MICROS = 30_000_000L

        /** The assumed time of fetching an image. */
        const val IMAGE_FETCH_MICROS = 2_000_000L
    }
}
