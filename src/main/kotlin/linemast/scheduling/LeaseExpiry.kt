package linemast.scheduling

import linemast.domain.Machine
import org.slf4j.LoggerFactory

/**
 * Keeps the stored set of registered machines in line with workers' leases.
 *
 * A machine is registered before its first start, and until its lease has expired, so that the next leader knows from
 * the store alone which machines may run tasks.
 */
internal class LeaseExpiry(private val cluster: Cluster, private val effects: ClusterEffects) {
    private val log = LoggerFactory.getLogger(LeaseExpiry::class.java)

    /** Gives up the tasks of machines whose leases have expired, and unregisters these machines. */
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
        machine.ended.clear()
    }

    /** Has machines stored that hold a lease and are not registered. */
    fun registerReportingMachines(nowMicros: Long) {
        val machines = cluster.machines.values.filter { !it.isRegistered && it.hasReported && nowMicros < it.leaseEndMicros }
        if (machines.isNotEmpty()) effects.registerMachines(machines)
    }
}
