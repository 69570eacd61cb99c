package linemast.scheduling

import linemast.domain.Machine

/** Determines which machines may get tasks now; a start is sent only in the response to a machine's next heartbeat. */
internal class MachineReadiness(private val cluster: Cluster, private val heartbeatIntervalMicros: Long) {
    private val maxAgeMicros = heartbeatIntervalMicros * 5 / 2 + HEARTBEAT_DELAY_MICROS

    /** Whether the last heartbeat of [machine] is so recent that the next one is expected soon. */
    fun hasRecentHeartbeat(machine: Machine, nowMicros: Long): Boolean =
        machine.lastHeartbeatMicros > 0 && nowMicros - machine.lastHeartbeatMicros < maxAgeMicros

    /** Whether tasks may be assigned to [machine]. */
    fun isSchedulable(machine: Machine, nowMicros: Long): Boolean = !machine.isDraining &&
        machine.isRegistered &&
        hasRecentHeartbeat(machine, nowMicros) &&
        machine.acknowledgesResponses &&
        machine.fencingToken >= cluster.fencingToken

    /**
     * Returns a sort key that orders machines by their next heartbeat, the soonest first. The key counts steps, each a fraction of
     * the heartbeat interval, so that a stable sort keeps the previous order among machines of the same step.
     */
    fun nextHeartbeatOrder(machine: Machine, nowMicros: Long): Int =
        -((nowMicros - machine.lastHeartbeatMicros) * STEPS_PER_INTERVAL / heartbeatIntervalMicros).toInt()

    private companion object {
        /** Tolerated time between the sending and the arrival of a heartbeat. */
        const val HEARTBEAT_DELAY_MICROS = 1_500_000L
        const val STEPS_PER_INTERVAL = 4
    }
}
