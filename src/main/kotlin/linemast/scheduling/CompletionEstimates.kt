package linemast.scheduling

import linemast.domain.Machine
import linemast.domain.Placement
import linemast.planning.RunTimeEstimates

/** Estimates when running tasks complete and machines become free, from the measured run times of their jobs. */
internal class CompletionEstimates(private val runTimeEstimates: RunTimeEstimates) {
    /** Whether the task of [placement] is expected to complete within [windowMicros]; false once it has run longer than estimated. */
    fun endsWithin(placement: Placement, nowMicros: Long, windowMicros: Long): Boolean {
        val job = placement.job ?: return false
        return placement.isRunning && placement.runningSinceMicros + runTimeEstimates.estimateMicros(job) - nowMicros in 0..windowMicros
    }

    /** Returns the time until the last task on [machine] is expected to complete; [Long.MAX_VALUE] if the job of a task is unknown. */
    fun freeAfterMicros(machine: Machine, nowMicros: Long): Long = machine.placements.values.maxOfOrNull { placement ->
        val job = placement.job ?: return Long.MAX_VALUE
        val startMicros = if (placement.isRunning) placement.runningSinceMicros else nowMicros
        (startMicros + runTimeEstimates.estimateMicros(job) - nowMicros).coerceAtLeast(0)
    } ?: 0L
}
