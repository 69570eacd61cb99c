package linemast.planning

import linemast.domain.Job
import linemast.domain.Machine

/** Scaled-out machines should be able to run [slots] tasks of [job] concurrently now; [slots] need not be whole. */
class ScaleOutDemand(val job: Job, val slots: Double) {
    internal companion object {
        /** What [plan] asks for at [nowMicros]: its scale-out slots, and backups as far as baseline capacity was not granted yet. */
        fun of(job: Job, plan: JobPlan, isBaseline: (Machine) -> Boolean, nowMicros: Long): ScaleOutDemand {
            val granted = job.placements.count { !it.isAssigned && isBaseline(it.machine) }
            val backupSlots = minOf(plan.backupSlots, (plan.baselineSlots(nowMicros) - granted).coerceAtLeast(0.0))
            val running = job.placements.count { !it.isAssigned && !isBaseline(it.machine) }
            // The plan's scale-out targets shrink as tasks are done; a task running on a scaled-out machine keeps its slot.
            val slots = maxOf(plan.scaleOutSlots + backupSlots, running.toDouble())
            val remaining = (job.spec.taskCount - job.completedCount - granted).toDouble()
            return ScaleOutDemand(job, minOf(slots, remaining).coerceAtLeast(0.0))
        }
    }
}
