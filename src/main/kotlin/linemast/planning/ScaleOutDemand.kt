package linemast.planning

import linemast.domain.Job
import linemast.domain.Machine

/** The demand of [job] for scaled-out machines that can run [slots] of its tasks concurrently now; [slots] may be fractional. */
class ScaleOutDemand(val job: Job, val slots: Double) {
    internal companion object {
        /**
         * Returns the demand of [plan] at [nowMicros]: its scale-out slots, and its backup slots as far as [job] has not been
         * granted the planned baseline capacity yet.
         */
        fun of(job: Job, plan: JobPlan, isBaseline: (Machine) -> Boolean, nowMicros: Long): ScaleOutDemand {
            val granted = job.placements.count { !it.isAssigned && isBaseline(it.machine) }
            val backupSlots = minOf(plan.backupSlots, (plan.baselineSlots(nowMicros) - granted).coerceAtLeast(0.0))
            val running = job.placements.count { !it.isAssigned && !isBaseline(it.machine) }
            // The plan's scale-out targets shrink as tasks complete; a task that runs on a scaled-out machine keeps its slot.
            val slots = maxOf(plan.scaleOutSlots + backupSlots, running.toDouble())
            val remaining = (job.spec.taskCount - job.completedCount - granted).toDouble()
            return ScaleOutDemand(job, minOf(slots, remaining).coerceAtLeast(0.0))
        }
    }
}
