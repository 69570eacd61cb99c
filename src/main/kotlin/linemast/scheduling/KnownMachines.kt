package linemast.scheduling

import linemast.domain.Machine

/**
 * The machines that the leader knows, and what the cloud says of them: which belong to the baseline fleet, are being
 * scaled in, or are gone.
 */
internal class KnownMachines(private val cluster: Cluster) {
    /** Known machines by name. */
    val machines = LinkedHashMap<String, Machine>()

    /** Names of the machines of the baseline fleet. */
    private var baseline: Set<String> = emptySet()

    /** Machines of which the cloud has confirmed that they are gone; names are never used again. */
    private val terminated = LinkedHashSet<String>()

    /** Machines that may be scaled in at any moment: they get no work. */
    private val scalingIn = HashSet<String>()

    /** Adds a machine whose first heartbeat has come. */
    fun add(machine: Machine) {
        machine.baseline = machine.name in baseline
        machine.draining = machine.name in scalingIn
        machines[machine.name] = machine
        cluster.dirty = true
    }

    /** Whether the cloud has confirmed that the machine is gone. */
    fun isTerminated(machineName: String): Boolean = machineName in terminated

    /** A previous leader has decided to scale these in: they get no work any more. */
    fun markScalingIn(names: Collection<String>) {
        scalingIn += names
        names.forEach { machines[it]?.draining = true }
    }

    /** Sets which machines belong to the baseline fleet. */
    fun markBaseline(names: Set<String>) {
        baseline = names
        machines.values.forEach { it.baseline = it.name in names }
    }

    /** The cloud has confirmed that these are gone. */
    fun markTerminated(names: Collection<String>) {
        for (name in names) {
            terminated += name
            scalingIn -= name
            val machine = machines.remove(name) ?: continue
            machine.placements.values.toList().forEach(cluster::remove)
        }
        while (terminated.size > MAX_TERMINATED) terminated.remove(terminated.first())
        cluster.dirty = true
    }

    /** Removes machines that the cloud does not list and whose leases expired long ago; the names of the registered ones. */
    fun removeUnlisted(listed: Set<String>, nowMicros: Long): List<String> {
        val unlisted = machines.values.filter {
            it.name !in listed && it.placements.isEmpty() && nowMicros > it.leaseEndMicros + UNLISTED_RETENTION_MICROS
        }
        unlisted.forEach { machines.remove(it.name) }
        return unlisted.filter { it.isRegistered }.map { it.name }
    }

    /** Whether no task can be on the machine, as far as that can be known. */
    fun isFree(machineName: String): Boolean = cluster.isReconciled && machines[machineName]?.placements.isNullOrEmpty()

    /** Whether heartbeats of most workers that reached this leader are missing at once. */
    fun areMostHeartbeatsMissing(nowMicros: Long, missingHeartbeatMicros: Long): Boolean {
        var known = 0
        var reporting = 0
        for (machine in machines.values) {
            if (!machine.hasReported || machine.draining) continue
            known++
            if (nowMicros - machine.lastHeartbeatMicros < missingHeartbeatMicros) reporting++
        }
        return known >= MIN_WORKERS && reporting * MIN_REPORTING_DIVISOR < known
    }

    private companion object {
        /** With fewer workers nothing follows from missing heartbeats. */
        const val MIN_WORKERS = 3

        /** Most workers are lost if less than one in this many reports. */
        const val MIN_REPORTING_DIVISOR = 4

        /** Delayed copies come minutes late at most; this is four times the machines of the largest fleet. */
        const val MAX_TERMINATED = 24_000
        const val UNLISTED_RETENTION_MICROS = 30_000_000L
    }
}
