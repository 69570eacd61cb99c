package linemast.scheduling

import linemast.domain.Job
import linemast.settings.Objective
import linemast.settings.Settings
import linemast.settings.shortestWaitMicros

/** How long jobs may wait for tasks to end by themselves before tasks are preempted for them; all times in microseconds. */
internal class PreemptionTiming(settings: Settings) {
    private val quotaObjectiveMicros =
        settings.objectives.filterIsInstance<Objective.Guarantee>().minOfOrNull { it.withinMicros } ?: DEFAULT_QUOTA_OBJECTIVE_MICROS
    private val waitObjectivesMicros = settings.objectives.shortestWaitMicros()

    /** From the decision to preempt a task until another runs in its place: two heartbeats and an image. */
    private val replacementMicros = settings.workers.heartbeatIntervalMicros * 2 + IMAGE_FETCH_MICROS

    /** What a preempted task gets beyond the time of a checkpoint. */
    val gracePeriodMicros = settings.workers.gangPeerTimeoutMicros

    /**
     * For how much longer a job within its quota, ready for [ageMicros], can wait for tasks to end by themselves; not positive
     * once it cannot. Late enough that most of the capacity frees up by itself, early enough that a preemption still helps.
     */
    fun quotaWindowMicros(ageMicros: Long): Long = quotaObjectiveMicros - ageMicros - replacementMicros

    /** For how much longer [gang], ready for [ageMicros], can wait and still start within the wait objective of its class. */
    fun gangWindowMicros(gang: Job, ageMicros: Long): Long {
        val objectiveMicros = waitObjectivesMicros[gang.spec.jobClass] ?: 0
        return (minOf(objectiveMicros, MAX_GANG_WINDOW_MICROS) - ageMicros - replacementMicros).coerceAtLeast(0)
    }

    private companion object {
        /** If the settings state no objective for jobs within their quota. */
        const val DEFAULT_QUOTA_OBJECTIVE_MICROS = 10_000_000L

        /** No gang waits for longer, whatever its objective. */
        const val MAX_GANG_WINDOW_MICROS = 30_000_000L

        /** How long fetching an image is assumed to take. */
        const val IMAGE_FETCH_MICROS = 2_000_000L
    }
}
