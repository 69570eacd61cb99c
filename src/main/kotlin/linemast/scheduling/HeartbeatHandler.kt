package linemast.scheduling

import linemast.domain.Command
import linemast.domain.Heartbeat
import linemast.domain.Machine
import linemast.domain.Placement
import linemast.domain.StopReason
import linemast.leadership.CancellationFreshness
import linemast.settings.WorkerSettings
import org.slf4j.LoggerFactory

/** Handles workers' heartbeats: applies their content to the cluster state, and chooses the commands of the response. */
internal class HeartbeatHandler(
    private val cluster: Cluster,
    private val workers: WorkerSettings,
    private val acceptance: HeartbeatAcceptance,
    private val taskReconciliation: TaskReconciliation,
    private val taskCommands: TaskCommands,
    private val cancellationFreshness: CancellationFreshness,
) {
    private val log = LoggerFactory.getLogger(HeartbeatHandler::class.java)

    /**
     * Processes a heartbeat and returns the commands for its response; null if there must be no response, since a response
     * renews the worker's lease.
     *
     * Only an accepted heartbeat gets a response. Otherwise a worker could keep renewing its lease and running tasks, while the
     * leader removes these tasks when the lease as recorded here expires.
     */
    fun handle(heartbeat: Heartbeat, nowMicros: Long, permission: CommandPermission): List<Command>? {
        val machine = acceptance.accept(heartbeat, nowMicros) ?: return null
        recordPreemptionNotice(machine, heartbeat)
        taskReconciliation.reconcile(machine, heartbeat, nowMicros)
        if (machine.preemptionNoticeMicros != null) checkpointBeforePreemption(machine)
        if (machine.placements.values.any { outlivesCancellation(it, nowMicros) }) return null
        if (permission == CommandPermission.CANCELLATIONS_ONLY) return taskCommands.stopsOfCancelled(machine)
        cluster.failover.confirmIfTokenShown(machine, nowMicros)
        cluster.stateReconciliation?.recordHeartbeat(machine.name)
        val response = taskCommands.begin(machine, nowMicros)
        cluster.runCycleIfDue(nowMicros)
        // A worker that does not show this fencing token has received no response of this leader yet, and may never receive one.
        val startsAllowed = permission == CommandPermission.ALL &&
            machine.acknowledgesResponses &&
            heartbeat.fencingToken >= cluster.fencingToken
        taskCommands.complete(machine, response, startsAllowed, nowMicros)
        return response.commands
    }

    private fun recordPreemptionNotice(machine: Machine, heartbeat: Heartbeat) {
        if (heartbeat.preemptionNoticeMicros != null && machine.preemptionNoticeMicros == null) {
            log.info("{}: preempted by the cloud in {} s", machine.name, heartbeat.preemptionNoticeMicros / MICROS_PER_SECOND)
        }
        if (heartbeat.preemptionNoticeMicros == null && machine.preemptionNoticeMicros != null) {
            log.info("{}: its preemption notice is no longer reported", machine.name)
            cluster.needsScheduling = true
        }
        machine.preemptionNoticeMicros = heartbeat.preemptionNoticeMicros
    }

    /**
     * Stops the tasks that can write a checkpoint before the cloud preempts [machine]. The other tasks go on, since they may
     * complete before the preemption. A gang writes its checkpoint only if all its tasks are stopped together.
     */
    private fun checkpointBeforePreemption(machine: Machine) {
        for (placement in machine.placements.values) {
            val job = placement.job ?: continue
            if (!placement.isRunning || job.spec.neverCheckpoints || placement.stopReason != null) continue
            val stopped = if (job.spec.isGang) job.placements.filter { !it.isAssigned } else listOf(placement)
            val gracePeriodMicros = job.spec.checkpointMicros + workers.gangPeerTimeoutMicros
            stopped.forEach { cluster.stop(it, StopReason.MachinePreempted(machine.name), gracePeriodMicros) }
        }
    }

    /**
     * Whether a cancelled task is still reported although a stop was sent, and the cancellation is so old that only the expiry of
     * the worker's lease ends the task in time.
     */
    private fun outlivesCancellation(placement: Placement, nowMicros: Long): Boolean {
        val job = placement.job ?: return false
        return job.cancelled && placement.isStopSent && cancellationFreshness.isTooStale(job.cancelledSinceMicros, nowMicros)
    }

    private companion object {
        const val MICROS_PER_SECOND = 1e6
    }
}
