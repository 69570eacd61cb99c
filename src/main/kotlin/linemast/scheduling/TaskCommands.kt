package linemast.scheduling

import linemast.domain.Command
import linemast.domain.EndCause
import linemast.domain.Job
import linemast.domain.Machine
import linemast.domain.Placement
import linemast.domain.TaskStatus
import linemast.recovery.ReconciliationStatistics

/** Chooses the commands of the response to a worker's heartbeat. */
internal class TaskCommands(private val cluster: Cluster) {
    /** Returns only stops of cancelled tasks. A cancellation is final, so even a leader whose term is over may act on it. */
    fun stopsOfCancelled(machine: Machine): List<Command> {
        val response = CommandList()
        for (placement in onMachine(machine)) {
            if (placement.job?.cancelled == true && !response.isFull) response.add(stopAtOnce(placement))
        }
        return response.commands
    }

    /** Returns the placements of [machine] whose start was sent. Those without a sent stop come first, so that each gets its stop. */
    private fun onMachine(machine: Machine): List<Placement> {
        val placements = machine.placements.values
        val unstopped = unstoppedOn(machine)
        return if (unstopped.size == placements.size) unstopped else unstopped + placements.filter { it.isStopSent }
    }

    /** Returns the placements of [machine] whose start was sent, and no stop. */
    private fun unstoppedOn(machine: Machine): List<Placement> = machine.placements.values.filter { !it.isAssigned && !it.isStopSent }

    private fun stopAtOnce(placement: Placement): Command {
        placement.isStopSent = true
        return Command.Stop(placement.task, placement.attempt, 0)
    }

    /**
     * Begins the response to a heartbeat of [machine] with stops and acknowledgements. A scheduling cycle between this and [complete] can
     * assign tasks to the space that the acknowledgements free. What the response has no room for is left to the next one.
     */
    fun begin(machine: Machine, nowMicros: Long): CommandList {
        val response = CommandList()
        addStops(onMachine(machine), response, nowMicros)
        addAcknowledgements(machine, response, nowMicros)
        return response
    }

    /** Adds the stops that were decided since [begin] to [response], and the starts of assigned tasks if [startsAllowed]. */
    fun complete(machine: Machine, response: CommandList, startsAllowed: Boolean, nowMicros: Long) {
        addStops(unstoppedOn(machine), response, nowMicros)
        val assigned = machine.placements.values.filter { it.isAssigned }
        for (placement in assigned.take(MAX_STARTS)) {
            if (response.isFull) break
            start(placement, startsAllowed, nowMicros)?.let(response::add)
        }
    }

    private fun addStops(placements: List<Placement>, response: CommandList, nowMicros: Long) {
        for (placement in placements) {
            if (response.isFull) break
            stop(placement, nowMicros)?.let(response::add)
        }
    }

    private fun addAcknowledgements(machine: Machine, response: CommandList, nowMicros: Long) {
        val acknowledged = ArrayList<TaskStatus>()
        for (task in machine.endedTasks) {
            if (response.isFull) break
            if (!mayAcknowledge(machine, task, nowMicros)) continue
            response.add(Command.Acknowledge(task.task, task.attempt))
            acknowledged += task
        }
        cluster.stateReconciliation?.count(ReconciliationStatistics.Command.ACKNOWLEDGE, acknowledged.size)
        // The worker executes commands in order, so it removes these tasks before it starts others.
        acknowledged.forEach { machine.removeEnded(it, cluster.heartbeatEntryBytes(it)) }
        if (acknowledged.isNotEmpty() && cluster.hasLimitedAssignments) cluster.needsScheduling = true
    }

    /** Returns the start of an assigned task; if it may not be sent, removes the assignment and returns null. */
    private fun start(placement: Placement, startsAllowed: Boolean, nowMicros: Long): Command? {
        if (!startsAllowed || !mayStart(placement, nowMicros) || !isWithinStartRate(placement, nowMicros)) {
            cluster.remove(placement)
            return null
        }
        placement.phase = Placement.Phase.SENT
        placement.sentMicros = nowMicros
        cluster.recordStartSent(placement)
        placement.job?.gangAttempt?.isStartSent = true
        cluster.stateReconciliation?.count(ReconciliationStatistics.Command.START)
        return Command.Start(placement.task, placement.attempt)
    }

    /** Returns the stop of a task that may be on the machine; null if the task is to go on. */
    private fun stop(placement: Placement, nowMicros: Long): Command? {
        if (!shouldStop(placement, nowMicros)) return null
        if (!placement.isStopSent) cluster.stateReconciliation?.count(ReconciliationStatistics.Command.STOP)
        placement.isStopSent = true
        return Command.Stop(placement.task, placement.attempt, placement.stopGracePeriodMicros)
    }

    /** Whether the end of [task] may be acknowledged: the worker deletes the result then, so the store must have it already. */
    private fun mayAcknowledge(machine: Machine, task: TaskStatus, nowMicros: Long): Boolean {
        val job = cluster.jobs[task.task.job] ?: return mayDiscard(task.task.job, nowMicros)
        if (job.cancelled || job.finished) return true
        if (job.spec.isGang) job.gangAttempt.recordAcknowledgement(machine, task.attempt)
        if (task.cause != EndCause.COMPLETED) return true
        return task.task.index >= job.spec.taskCount || job.storedProgress.isStored(task.task.index)
    }

    private fun mayStart(placement: Placement, nowMicros: Long): Boolean {
        val job = placement.job ?: return false
        if (job.cancelled || job.finished) return false
        val machine = placement.machine
        // The heartbeat may have listed tasks that were not known when the task was assigned.
        if (machine.capacity.freeHeartbeatBytes < 0) return false
        return !machine.isDraining && machine.isRegistered && cluster.isStartable(job, nowMicros)
    }

    /**
     * Whether a task of the unknown [job] may be stopped and its result discarded. If the reconciliation after an
     * outage is enabled, this is false until the record of the job was looked up in the store.
     */
    private fun mayDiscard(job: String, nowMicros: Long): Boolean = cluster.stateReconciliation?.mayDiscard(job, nowMicros) ?: true

    /**
     * Whether the rate limit of commands allows the start of [placement]. Starts of gangs are exempt, so that all of a gang are sent
     * together: a delayed one would keep the machines of all others occupied.
     */
    private fun isWithinStartRate(placement: Placement, nowMicros: Long): Boolean =
        placement.job?.spec?.isGang == true || isWithinCommandRate(nowMicros)

    private fun isWithinCommandRate(nowMicros: Long): Boolean = cluster.stateReconciliation?.maySendCommand(nowMicros) ?: true

    private fun shouldStop(placement: Placement, nowMicros: Long): Boolean {
        val job = placement.job
        if (job == null && !(mayDiscard(placement.task.job, nowMicros) && isWithinCommandRate(nowMicros))) return false
        if (job == null || isObsolete(placement, job)) {
            placement.stopGracePeriodMicros = 0
            return true
        }
        return placement.stopReason != null
    }

    /** Whether the result of the task is not needed any more. */
    private fun isObsolete(placement: Placement, job: Job): Boolean = job.cancelled ||
        job.finished ||
        job.completedTasks.get(placement.task.index) ||
        (job.spec.isGang && placement.attempt < job.gangAttempt.number)

    companion object {
        /** Maximum number of starts in one response. */
        const val MAX_STARTS = 300
    }
}
