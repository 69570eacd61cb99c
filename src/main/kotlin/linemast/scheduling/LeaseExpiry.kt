package linemast.scheduling

import linemast.domain.Machine
import org.slf4j.LoggerFactory

/**
 * Removes the tasks of workers whose leases have expired, and registers and unregisters machines in the store by their leases.
 *
 * A machine is registered before its first start is sent and stays registered until its lease has expired, so that the next
 * leader can determine from the store alone which machines may run tasks.
 */
internal class LeaseExpiry(private val cluster: Cluster, private val effects: ClusterEffects) {
    private val log = LoggerFactory.getLogger(LeaseExpiry::class.java)

    /** Removes the tasks of machines whose leases have expired, and unregisters these machines. */
    fun expireLeases(nowMicros: Long) {
        val unregistered = ArrayList<String>()
        for (machine in cluster.machines.values) {
            if (nowMicros < machine.leaseEndMicros || (!machine.isRegistered && machine.placements.isEmpty())) continue
            removeTasks(machine)
            if (machine.isRegistered) unregistered += machine.name
            machine.isRegistered = false
        }
        if (unregistered.isNotEmpty()) effects.unregisterMachines(unregistered)
    }

    private fun removeTasks(machine: Machine) {
        if (machine.placements.isEmpty()) return
        log.info("{}: lease expired, {} tasks lost", machine.name, machine.placements.size)
        machine.placements.values.toList().forEach(cluster::remove)
        machine.clearEnded()
    }

    /** Registers machines that have sent a heartbeat and hold a lease, but are not registered yet. */
    fun registerReportingMachines(nowMicros: Long) {
        val machines = cluster.machines.values.filter { !it.isRegistered && it.hasReported && nowMicros < it.leaseEndMicros }
        if (machines.isNotEmpty()) effects.registerMachines(machines)
    }
}
