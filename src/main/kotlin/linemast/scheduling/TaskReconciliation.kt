package linemast.scheduling

import linemast.domain.Heartbeat
import linemast.domain.Job
import linemast.domain.Machine
import linemast.domain.Placement
import linemast.domain.TaskAttempt
import linemast.domain.TaskState
import linemast.domain.TaskStatus
import linemast.recovery.ReconciliationStatistics
import org.slf4j.LoggerFactory

/** Reconciles a machine's placements with the tasks that its worker reports. */
internal class TaskReconciliation(private val cluster: Cluster, private val timing: WorkerTiming, private val taskEndings: TaskEndings) {
    private val log = LoggerFactory.getLogger(TaskReconciliation::class.java)

    /** Applies the task list of an accepted heartbeat: adopts unknown tasks, and removes placements of lost tasks. */
    fun reconcile(machine: Machine, heartbeat: Heartbeat, nowMicros: Long) {
        val reported = HashSet<TaskAttempt>()
        machine.clearEnded()
        for (task in heartbeat.tasks) {
            reported += task.key
            val placement = machine.placements[task.key]
            if (task.state == TaskState.ENDED) {
                machine.addEnded(task, cluster.heartbeatEntryBytes(task))
                taskEndings.recordEnd(machine, task, placement, nowMicros)
            } else {
                updatePhase(placement ?: adopt(machine, task, nowMicros), task, nowMicros)
            }
        }
        machine.placements.values.filter { isLost(it, reported, nowMicros) }.forEach(::removeLost)
        if (machine.placements.isNotEmpty() || machine.idleSinceMicros == 0L) machine.idleSinceMicros = nowMicros
    }

    /** Adds a placement for a task that this leader has not started. */
    private fun adopt(machine: Machine, task: TaskStatus, nowMicros: Long): Placement {
        val job = cluster.jobs[task.task.job]?.takeIf { task.task.index < it.spec.taskCount }
        val placement = Placement(machine, task.task, task.attempt, job)
        placement.phase = Placement.Phase.SENT
        placement.sentMicros = nowMicros
        cluster.add(placement)
        countFound(job, task.key)
        if (job != null && job.spec.isGang) job.gangAttempt.adopt(task.attempt)
        return placement
    }

    private fun countFound(job: Job?, attempt: TaskAttempt) {
        val reconciliation = cluster.stateReconciliation ?: return
        if (job == null) reconciliation.countUnknown(attempt) else reconciliation.count(ReconciliationStatistics.Difference.ADOPTED)
    }

    private fun updatePhase(placement: Placement, task: TaskStatus, nowMicros: Long) {
        placement.phase = when (task.state) {
            TaskState.FETCHING -> Placement.Phase.FETCHING
            TaskState.WAITING_FOR_GANG -> Placement.Phase.WAITING_FOR_GANG
            TaskState.RUNNING -> Placement.Phase.RUNNING
            TaskState.CHECKPOINTING, TaskState.ENDED -> Placement.Phase.CHECKPOINTING
        }
        if (placement.isRunning) {
            if (placement.runningSinceMicros == 0L) placement.runningSinceMicros = nowMicros
            placement.job?.gangAttempt?.hasRun = true
        }
        if (placement.phase != Placement.Phase.FETCHING) placement.job?.let { placement.machine.images += it.spec.image }
    }

    /**
     * Whether the task of [placement] is lost, since the heartbeat does not list it. If delayed duplicates cannot be told from
     * heartbeats of this worker, a task counts as lost only after its start had time to appear in a heartbeat.
     */
    private fun isLost(placement: Placement, reported: Set<TaskAttempt>, nowMicros: Long): Boolean {
        if (placement.key in reported || placement.isAssigned) return false
        return !placement.machine.heartbeats.reusesIncarnations || nowMicros >= placement.sentMicros + timing.maxLeaseMicros
    }

    private fun removeLost(placement: Placement) {
        cluster.stateReconciliation?.count(ReconciliationStatistics.Difference.LOST)
        if (placement.phase != Placement.Phase.SENT) {
            log.info("{} on {}: not reported any more, treated as lost", placement.task, placement.machine.name)
        }
        cluster.remove(placement)
    }
}
