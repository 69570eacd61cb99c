package linemast.scheduling

import linemast.domain.Machine

/** Tells which machines may get tasks now: a start leaves only in the response to a machine's next heartbeat. */
internal class MachineReadiness(private val cluster: Cluster, private val heartbeatIntervalMicros: Long) {
    private val maxAgeMicros = heartbeatIntervalMicros * 5 / 2 + HEARTBEAT_DELAY_MICROS

    /** Whether the last heartbeat is so recent that the next one can be expected soon. */
    fun hasRecentHeartbeat(machine: Machine, nowMicros: Long): Boolean =
        machine.lastHeartbeatMicros > 0 && nowMicros - machine.lastHeartbeatMicros < maxAgeMicros

    /** Whether tasks may be assigned to [machine]. */
    fun isSchedulable(machine: Machine, nowMicros: Long): Boolean = !machine.draining &&
        machine.isRegistered &&
        hasRecentHeartbeat(machine, nowMicros) &&
        machine.acknowledgesResponses &&
        machine.fencingToken >= cluster.fencingToken

    /**
     * Sorts machines by their next heartbeat, the soonest first. In steps of a part of the heartbeat interval: among machines
     * of the same step the usual order holds.
     */
    fun nextHeartbeatOrder(machine: Machine, nowMicros: Long): Int =
        -((nowMicros - machine.lastHeartbeatMicros) * STEPS_PER_INTERVAL / heartbeatIntervalMicros).toInt()

    private companion object {
        /** How much later than sent a heartbeat may arrive. */
        const val HEARTBEAT_DELAY_MICROS = 1_500_000L
        const val STEPS_PER_INTERVAL = 4
    }
}
