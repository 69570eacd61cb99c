package linemast.scheduling

import linemast.domain.Heartbeat
import linemast.domain.HeartbeatOrder
import linemast.domain.Machine
import org.slf4j.LoggerFactory

/** Accepts or rejects heartbeats. For each accepted one, records its order, the incarnation of its worker and the worker's lease. */
internal class HeartbeatAcceptance(private val cluster: Cluster, private val timing: WorkerTiming) {
    private val log = LoggerFactory.getLogger(HeartbeatAcceptance::class.java)

    /** Records [heartbeat] as the newest one of its machine, and returns the machine; returns null if the heartbeat is rejected. */
    fun accept(heartbeat: Heartbeat, nowMicros: Long): Machine? {
        // A delayed heartbeat must not add a machine again whose termination the cloud has confirmed.
        if (cluster.knownMachines.isTerminated(heartbeat.machineName)) return null
        val machine = machineOf(heartbeat) ?: return null
        val heartbeats = machine.heartbeats
        val order = heartbeats.classify(heartbeat, nowMicros, machine.leaseEndMicros, timing.acknowledgedIntervalMicros)
        if (order == HeartbeatOrder.STALE) return null
        if (order == HeartbeatOrder.NEWER && contradictsReportedTasks(machine, heartbeat)) return null
        val couldReceiveStarts = mayReceiveStarts(machine, machine.fencingToken)
        val isNewIncarnation = order == HeartbeatOrder.RESTARTED || heartbeat.incarnation > heartbeats.incarnation
        heartbeats.record(heartbeat, nowMicros, timing.acknowledgedIntervalMicros, timing.minLeaseMicros)
        if (!couldReceiveStarts && mayReceiveStarts(machine, heartbeat.fencingToken)) cluster.needsScheduling = true
        if (isNewIncarnation) endIncarnation(machine)
        machine.leaseEndMicros = cluster.failover.latestResponseMicros(heartbeat.fencingToken, nowMicros) + timing.maxLeaseMicros
        return machine
    }

    private fun mayReceiveStarts(machine: Machine, fencingToken: Long): Boolean =
        machine.acknowledgesResponses && fencingToken >= cluster.fencingToken

    /** Returns the machine of [heartbeat], which is added if it is new; null if the machine type is unknown. */
    private fun machineOf(heartbeat: Heartbeat): Machine? {
        cluster.machines[heartbeat.machineName]?.let { return it }
        val type = cluster.machineTypes[heartbeat.machineType] ?: return null
        val machine = Machine(heartbeat.machineName, type, heartbeat.zone, heartbeat.spot)
        cluster.knownMachines.add(machine)
        return machine
    }

    /**
     * Whether [heartbeat] is of the present incarnation and lacks a task that this incarnation has reported as not ended.
     *
     * A worker lists each task until the end of the task is acknowledged. Such a heartbeat is therefore a delayed duplicate from
     * before a restart of the worker, whatever its sequence number.
     */
    private fun contradictsReportedTasks(machine: Machine, heartbeat: Heartbeat): Boolean {
        if (heartbeat.incarnation != machine.heartbeats.incarnation) return false
        val listed = heartbeat.tasks.mapTo(HashSet()) { it.key }
        return machine.placements.values.any { it.isReported && it.key !in listed }
    }

    /** Removes the tasks of the previous incarnation of the worker, all of which have ended. */
    private fun endIncarnation(machine: Machine) {
        if (machine.placements.isNotEmpty()) log.info("{}: new incarnation, {} tasks lost", machine.name, machine.placements.size)
        machine.placements.values.toList().forEach { if (!it.isAssigned) cluster.remove(it) }
        machine.clearEnded()
        machine.images.clear()
        cluster.needsScheduling = true
    }
}
