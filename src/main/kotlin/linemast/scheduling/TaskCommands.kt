package linemast.scheduling

import linemast.domain.Command
import linemast.domain.EndCause
import linemast.domain.Machine
import linemast.domain.Placement
import linemast.domain.TaskStatus
import linemast.jobs.CompletedTaskParts
import linemast.recovery.ReconciliationStatistics

/** Chooses the commands that leave in the answer to a worker's report. */
internal class TaskCommands(private val cluster: Cluster) {
    /** Verdicts are final: what they end may be ended by an earlier leader too. */
    fun stopsOfCancelled(machine: Machine): List<Command> =
        machine.placements.values.filter { it.job?.cancelled == true && !it.isAssigned }.map(::stopAtOnce)

    private fun stopAtOnce(placement: Placement): Command {
        placement.stopSent = true
        return Command.Stop(placement.task, placement.attempt, 0)
    }

    /** The commands for the answer to a report of [machine]; starts only if [mayStart]. */
    fun commandsFor(machine: Machine, mayStart: Boolean, nowMicros: Long): List<Command> {
        val commands = ArrayList<Command>()
        for (task in machine.ended.values) {
            if (mayAcknowledge(machine, task, nowMicros)) commands += Command.Acknowledge(task.task, task.attempt)
        }
        cluster.recovery?.count(ReconciliationStatistics.Command.ACKNOWLEDGE, commands.size)
        for (placement in machine.placements.values.toList()) {
            if (commands.size >= MAX_COMMANDS) break
            if (placement.isAssigned) {
                if (!mayStart || !mayStart(machine, placement, nowMicros) || !isInPace(placement, nowMicros)) {
                    cluster.remove(placement)
                    continue
                }
                placement.phase = Placement.Phase.SENT
                placement.sentMicros = nowMicros
                cluster.commandSent(placement)
                placement.job?.gangAttemptUsed = true
                commands += Command.Start(placement.task, placement.attempt)
                cluster.recovery?.count(ReconciliationStatistics.Command.START)
            } else if (shouldStop(placement, nowMicros)) {
                if (!placement.stopSent) cluster.recovery?.count(ReconciliationStatistics.Command.STOP)
                placement.stopSent = true
                commands += Command.Stop(placement.task, placement.attempt, placement.stopGracePeriodMicros)
            }
        }
        return commands
    }

    /** A result may be forgotten by the worker only once the store has it. */
    private fun mayAcknowledge(machine: Machine, task: TaskStatus, nowMicros: Long): Boolean {
        val job = cluster.jobs[task.task.job] ?: return mayDiscard(task.task.job, nowMicros)
        if (job.cancelled || job.finished) return true
        if (job.spec.isGang) job.acknowledgedOn(machine, task.attempt)
        if (task.cause != EndCause.DONE) return true
        val part = CompletedTaskParts.partOf(task.task.index)
        return !job.dirtyParts.get(part) && !job.writingDone
    }

    private fun mayStart(machine: Machine, placement: Placement, nowMicros: Long): Boolean {
        val job = placement.job ?: return false
        return !job.cancelled && !job.finished && !machine.draining && machine.isRegistered && cluster.isStartable(job, nowMicros)
    }

    /** Without a record of its job a task, or its result, is not to be ended before the store has been asked. */
    private fun mayDiscard(job: String, nowMicros: Long): Boolean = cluster.recovery?.mayDiscard(job, nowMicros) ?: true

    /** The starts of a gang leave together: one that comes late would hold the machines of all others. */
    private fun isInPace(placement: Placement, nowMicros: Long): Boolean = placement.job?.spec?.isGang == true || mayOrder(nowMicros)

    private fun mayOrder(nowMicros: Long): Boolean = cluster.recovery?.maySendCommand(nowMicros) ?: true

    private fun shouldStop(placement: Placement, nowMicros: Long): Boolean {
        val job = placement.job
        if (job == null && !(mayDiscard(placement.task.job, nowMicros) && mayOrder(nowMicros))) return false
        if (job == null || job.cancelled || job.finished || job.done.get(placement.task.index)) {
            placement.stopGracePeriodMicros = 0
            return true
        }
        if (job.spec.isGang && placement.attempt < job.gangAttempt) {
            placement.stopGracePeriodMicros = 0
            return true
        }
        return placement.stopReason != null
    }

    private companion object {
        const val MAX_COMMANDS = 300
    }
}
