package linemast.scheduling

import linemast.domain.DrainReason
import linemast.domain.Machine

/**
 * The machines that the leader knows, and their state in the cloud: whether they belong to the baseline fleet, are being scaled
 * in, or are terminated.
 */
internal class KnownMachines(private val cluster: Cluster) {
    /** Known machines by name. */
    val machines = LinkedHashMap<String, Machine>()

    /** Names of the machines of the baseline fleet. */
    private var baseline: Set<String> = emptySet()

    /** Names of machines whose termination the cloud has confirmed; the cloud never reuses a name. */
    private val terminated = LinkedHashSet<String>()

    /** Number of pending scale-ins by machine name. These machines may be removed at any moment and therefore get no tasks. */
    private val pendingScaleIns = HashMap<String, Int>()

    /** Adds a machine whose first heartbeat has arrived. */
    fun add(machine: Machine) {
        machine.isBaseline = machine.name in baseline
        machine.isScalingIn = isScalingIn(machine.name)
        machines[machine.name] = machine
        cluster.needsScheduling = true
    }

    /** Whether the cloud has confirmed the termination of the machine. */
    fun isTerminated(machineName: String): Boolean = machineName in terminated

    /** Whether a scale-in of the machine is decided and neither confirmed nor refused. */
    fun isScalingIn(machineName: String): Boolean = machineName in pendingScaleIns

    /** Marks machines whose scale-in this leader or a previous one has decided: they get no tasks any more. */
    fun markScalingIn(names: Collection<String>) {
        for (name in names) {
            pendingScaleIns.merge(name, 1, Int::plus)
            machines[name]?.isScalingIn = true
        }
    }

    /** Records that a scale-in of the machines is refused and will not take effect: unless another one is pending, they get tasks again. */
    fun recordScaleInRefused(names: Collection<String>) {
        for (name in names) {
            pendingScaleIns.computeIfPresent(name) { _, count -> (count - 1).takeIf { it > 0 } }
            machines[name]?.isScalingIn = isScalingIn(name)
        }
        cluster.needsScheduling = true
    }

    /** Returns the machines that get no starts, by name, with the reason. */
    fun drainingMachines(): Map<String, DrainReason> =
        machines.values.mapNotNull { machine -> machine.drainReason?.let { machine.name to it } }.toMap()

    /** Sets which machines belong to the baseline fleet. */
    fun markBaseline(names: Set<String>) {
        baseline = names
        machines.values.forEach { it.isBaseline = it.name in names }
    }

    /** Removes machines whose termination the cloud has confirmed, with their tasks. */
    fun markTerminated(names: Collection<String>) {
        for (name in names) {
            terminated += name
            pendingScaleIns -= name
            val machine = machines.remove(name) ?: continue
            machine.placements.values.toList().forEach(cluster::remove)
        }
        while (terminated.size > MAX_TERMINATED) terminated.remove(terminated.first())
        cluster.needsScheduling = true
    }

    /** Removes machines that the cloud does not list and whose leases expired long ago; returns the names of the registered ones. */
    fun removeUnlisted(listed: Set<String>, nowMicros: Long): List<String> {
        val unlisted = machines.values.filter {
            it.name !in listed && it.placements.isEmpty() && nowMicros > it.leaseEndMicros + UNLISTED_RETENTION_MICROS
        }
        unlisted.forEach { machines.remove(it.name) }
        return unlisted.filter { it.isRegistered }.map { it.name }
    }

    /** Whether no task can be on the machine; false until the tasks of previous leaders are reconciled. */
    fun isFree(machineName: String): Boolean = cluster.isReconciled && machines[machineName]?.placements.isNullOrEmpty()

    /** Whether most of the workers that have sent heartbeats to this leader are overdue at the same time. */
    fun areMostHeartbeatsMissing(nowMicros: Long, missingHeartbeatMicros: Long): Boolean {
        var known = 0
        var reporting = 0
        for (machine in machines.values) {
            if (!machine.hasReported || machine.isDraining) continue
            known++
            if (nowMicros - machine.lastHeartbeatMicros < missingHeartbeatMicros) reporting++
        }
        return known >= MIN_WORKERS && reporting * MIN_REPORTING_DIVISOR < known
    }

    private companion object {
        /** With fewer workers than this, missing heartbeats allow no conclusion. */
        const val MIN_WORKERS = 3

        /** Most heartbeats are missing if fewer than one worker in this many reports. */
        const val MIN_REPORTING_DIVISOR = 4

        /** Four times the machines of the largest fleet; delayed heartbeats of a terminated machine arrive at most minutes late. */
        const val MAX_TERMINATED = 24_000
        const val UNLISTED_RETENTION_MICROS = 30_000_000L
    }
}
