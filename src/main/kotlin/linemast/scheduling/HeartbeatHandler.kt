package linemast.scheduling

import linemast.domain.Command
import linemast.domain.EndCause
import linemast.domain.Heartbeat
import linemast.domain.Job
import linemast.domain.Machine
import linemast.domain.Placement
import linemast.domain.StopReason
import linemast.domain.TaskAttempt
import linemast.domain.TaskState
import linemast.domain.TaskStatus
import linemast.jobs.CompletedTaskParts
import linemast.leadership.CancellationFreshness
import linemast.recovery.ReconciliationStatistics
import linemast.settings.WorkerSettings
import org.slf4j.LoggerFactory

/** Brings the leader's records into line with the reports of workers, and answers them. */
internal class HeartbeatHandler(
    private val cluster: Cluster,
    private val workers: WorkerSettings,
    private val timing: WorkerTiming,
    private val cancellationFreshness: CancellationFreshness,
    private val taskCommands: TaskCommands,
) {
    private val log = LoggerFactory.getLogger(HeartbeatHandler::class.java)

    /**
     * Takes a report and returns the commands for its answer; null for no answer that would renew the worker's lease.
     *
     * Only a report that counts in the leader's records may be answered: else a worker could keep tasks, answer by answer, that
     * the leader's records give up at the end of its lease.
     */
    fun handle(heartbeat: Heartbeat, nowMicros: Long, allowedCommands: CommandPermission): List<Command>? {
        val machine = accept(heartbeat, nowMicros) ?: return null
        noticePreemption(machine, heartbeat)
        reconcile(machine, heartbeat, nowMicros)
        if (machine.preemptionNoticeMicros != null) saveBeforePreemption(machine)
        if (machine.placements.values.any { outlivesCancellation(it, nowMicros) }) return null
        if (allowedCommands == CommandPermission.NO_COMMANDS) return taskCommands.stopsOfCancelled(machine)
        cluster.failover.heardFrom(machine, nowMicros)
        cluster.recovery?.heartbeatReceived(machine.name)
        cluster.runCycleIfDue(nowMicros)
        // A worker that does not show this fencing token has not heard this leader yet, and may never.
        val mayStart =
            allowedCommands == CommandPermission.ALL && machine.acknowledgesResponses && heartbeat.fencingToken >= cluster.fencingToken
        return taskCommands.commandsFor(machine, mayStart, nowMicros)
    }

    /** Takes note of a report's sender and order; null if the report does not count. */
    private fun accept(heartbeat: Heartbeat, nowMicros: Long): Machine? {
        // The cloud has confirmed its end: this is a late copy, and must not bring the machine back.
        if (cluster.isReturned(heartbeat.machineName)) return null
        val machine = machineOf(heartbeat) ?: return null
        val newer = machine.isNewer(heartbeat, nowMicros)
        // A late copy or a report overtaken by a newer one: its worker does not wait for this answer any more.
        if (!newer && !machine.restarted(heartbeat, nowMicros, timing.answeredWithinMicros)) return null
        if (newer && machine.contradicts(heartbeat)) return null
        val wasUsable = machine.acknowledgesResponses && machine.fencingToken >= cluster.fencingToken
        machine.heardAgain(heartbeat, nowMicros, timing.answeredWithinMicros, timing.shortestLeaseMicros)
        if (!wasUsable && machine.acknowledgesResponses && heartbeat.fencingToken >= cluster.fencingToken) cluster.dirty = true
        if (!newer || heartbeat.incarnation > machine.incarnation) endIncarnation(machine)
        machine.incarnation = heartbeat.incarnation
        machine.sequenceNumber = heartbeat.sequenceNumber
        machine.fencingToken = maxOf(machine.fencingToken, heartbeat.fencingToken)
        machine.lastHeartbeatMicros = nowMicros
        machine.leaseEndMicros = cluster.failover.answeredUntilMicros(heartbeat.fencingToken, nowMicros) + timing.longestLeaseMicros
        return machine
    }

    private fun noticePreemption(machine: Machine, heartbeat: Heartbeat) {
        if (heartbeat.preemptionNoticeMicros != null && machine.preemptionNoticeMicros == null) {
            log.info("{}: preempted by the cloud in {} s", machine.name, heartbeat.preemptionNoticeMicros / 1e6)
            machine.draining = true
        }
        machine.preemptionNoticeMicros = heartbeat.preemptionNoticeMicros
    }

    /**
     * A cancelled task that its worker has been told to end and reports all the same, for so long that only the end of the
     * worker's lease ends it in time.
     */
    private fun outlivesCancellation(placement: Placement, nowMicros: Long): Boolean {
        val job = placement.job ?: return false
        return job.cancelled && placement.stopSent && cancellationFreshness.isTooStale(job.cancelledSinceMicros, nowMicros)
    }

    private fun machineOf(heartbeat: Heartbeat): Machine? {
        cluster.machines[heartbeat.machineName]?.let { return it }
        val type = cluster.types[heartbeat.machineType] ?: return null
        val machine = Machine(heartbeat.machineName, type, heartbeat.zone, heartbeat.spot)
        machine.baseline = cluster.isBaseline(machine.name)
        machine.draining = cluster.isBeingReturned(machine.name)
        cluster.machines[heartbeat.machineName] = machine
        cluster.dirty = true
        return machine
    }

    /** The worker has begun a new session: it killed and forgot all it had. */
    private fun endIncarnation(machine: Machine) {
        if (machine.placements.isNotEmpty()) log.info("{}: new session, {} tasks lost", machine.name, machine.placements.size)
        machine.placements.values.toList().forEach { if (!it.isAssigned) cluster.remove(it) }
        machine.ended.clear()
        machine.images.clear()
        cluster.dirty = true
    }

    private fun reconcile(machine: Machine, heartbeat: Heartbeat, nowMicros: Long) {
        val seen = HashSet<TaskAttempt>()
        machine.ended.clear()
        for (task in heartbeat.tasks) {
            val key = task.key
            seen += key
            var placement = machine.placements[key]
            if (task.status == TaskState.ENDED) {
                machine.ended[key] = task
                ended(machine, task, placement, nowMicros)
                continue
            }
            if (placement == null) {
                val job = cluster.jobs[task.task.job]?.takeIf { task.task.index < it.spec.taskCount }
                placement = Placement(machine, task.task, task.attempt, job)
                placement.phase = Placement.Phase.SENT
                placement.sentMicros = nowMicros
                cluster.put(placement)
                countFound(job, key)
                if (job != null && job.spec.isGang) adoptGang(job, task)
            }
            advance(placement, task, nowMicros)
        }
        // Where a late copy cannot be told from a report, a start is not taken for lost before reports had time to show it.
        val gone = machine.placements.filter { (key, placement) ->
            key !in seen && !placement.isAssigned && !(machine.isAmbiguous && nowMicros < placement.sentMicros + timing.longestLeaseMicros)
        }
        gone.values.forEach { lost(it, "not reported any more") }
        if (machine.placements.isNotEmpty() || machine.idleSinceMicros == 0L) machine.idleSinceMicros = nowMicros
    }

    /**
     * Tasks that can save do so before the cloud takes the machine; the others go on, in the hope of ending first.
     * A gang saves only if all its tasks are stopped together.
     */
    private fun saveBeforePreemption(machine: Machine) {
        for (placement in machine.placements.values) {
            val job = placement.job ?: continue
            if (!placement.isRunning || job.spec.neverSaves || placement.stopReason != null) continue
            val stopped = if (job.spec.isGang) job.placements.filter { !it.isAssigned } else listOf(placement)
            for (mate in stopped) {
                cluster.stop(mate, StopReason.MachinePreempted(machine.name), job.spec.checkpointMicros + workers.gangPeerTimeoutMicros)
            }
        }
    }

    private fun adoptGang(job: Job, task: TaskStatus) {
        job.gangAttempt = maxOf(job.gangAttempt, task.attempt)
        job.gangAttemptUsed = true
    }

    private fun advance(placement: Placement, task: TaskStatus, nowMicros: Long) {
        placement.phase = when (task.status) {
            TaskState.FETCHING -> Placement.Phase.FETCHING
            TaskState.WAITING_FOR_GANG -> Placement.Phase.WAITING_FOR_GANG
            TaskState.RUNNING -> Placement.Phase.RUNNING
            TaskState.SAVING, TaskState.ENDED -> Placement.Phase.SAVING
        }
        if (placement.isRunning) {
            if (placement.runningSinceMicros == 0L) placement.runningSinceMicros = nowMicros
            placement.job?.gangRan = true
        }
        if (placement.phase != Placement.Phase.FETCHING) placement.job?.let { placement.machine.images += it.spec.image }
    }

    private fun ended(machine: Machine, task: TaskStatus, placement: Placement?, nowMicros: Long) {
        if (placement != null) cluster.remove(placement)
        val job = cluster.jobs[task.task.job]
        if (job == null) cluster.recovery?.countUnknown(task.key)
        if (job == null || task.task.index >= job.spec.taskCount) return
        when (task.cause) {
            EndCause.DONE -> completed(machine, job, task, placement, nowMicros)
            EndCause.FAILED -> failed(machine, job, nowMicros)
            else -> if (placement != null) log.debug("{}: ended on {}: {}", task.task, machine.name, task.cause)
        }
    }

    private fun completed(machine: Machine, job: Job, task: TaskStatus, placement: Placement?, nowMicros: Long) {
        machine.failedJobs.clear()
        job.failures = 0
        if (placement != null && placement.runningSinceMicros > 0 && !job.spec.isGang) {
            job.measuredMicros += nowMicros - placement.runningSinceMicros
            job.measuredTasks++
            cluster.times.recordFinished(job.spec, nowMicros - placement.runningSinceMicros)
        }
        if (job.finished || job.cancelled) return
        // A gang completes together: the end of one of its tasks is the end of all.
        val indices = if (job.spec.isGang) 0 until job.spec.taskCount else task.task.index..task.task.index
        for (index in indices) {
            if (!job.markDone(index)) continue
            job.dirtyParts.set(CompletedTaskParts.partOf(index))
            cluster.recovery?.count(ReconciliationStatistics.Difference.RESULT)
        }
        cluster.dirty = true
    }

    private fun failed(machine: Machine, job: Job, nowMicros: Long) {
        if (!job.failedOn.add(machine.name) && !machine.failedJobs.add(job.id)) return
        machine.failedJobs += job.id
        job.failures++
        log.debug("{}: failed on {}, {} times in all", job.id, machine.name, job.failures)
        // A job that fails wherever it goes was submitted with a mistake; a machine that fails all is broken.
        val wait = minOf(MAX_BACK_OFF_MICROS, BACK_OFF_MICROS shl minOf(job.failures - 1, MAX_BACK_OFF_DOUBLINGS))
        if (job.failures >= FAILURES_OF_A_BAD_JOB) job.backOffUntilMicros = nowMicros + wait
        if (machine.failedJobs.size >= JOBS_OF_A_BAD_MACHINE && !machine.draining) {
            log.info("{}: {} jobs failed here with none completed, taken out of use", machine.name, machine.failedJobs.size)
            machine.draining = true
        }
        cluster.dirty = true
    }

    private fun countFound(job: Job?, key: TaskAttempt) {
        val recovery = cluster.recovery ?: return
        if (job == null) recovery.countUnknown(key) else recovery.count(ReconciliationStatistics.Difference.ADOPTED)
    }

    private fun lost(placement: Placement, why: String) {
        cluster.recovery?.count(ReconciliationStatistics.Difference.LOST)
        if (placement.phase != Placement.Phase.SENT) log.info("{} on {}: {}", placement.task, placement.machine.name, why)
        cluster.remove(placement)
    }

    private companion object {
        const val BACK_OFF_MICROS = 4_000_000L
        const val MAX_BACK_OFF_MICROS = 120_000_000L
        const val MAX_BACK_OFF_DOUBLINGS = 6
        const val FAILURES_OF_A_BAD_JOB = 4
        const val JOBS_OF_A_BAD_MACHINE = 2
    }
}
