package linemast.scheduling

import linemast.domain.Job
import linemast.domain.Machine
import linemast.domain.Placement

/** The room on [machine] for a task of a gang once some tasks are preempted: vcpus, and space in the machine's heartbeats. */
internal class RoomAfterPreemption(machine: Machine) {
    private var vcpus = machine.freeVcpus
    private var heartbeatBytes = machine.capacity.freeHeartbeatBytes

    /** Adds the room that [placement] takes up. */
    fun add(placement: Placement) {
        vcpus += placement.requestedVcpus
        heartbeatBytes += placement.heartbeatEntryBytes
    }

    /** Whether one task of [gang] fits. */
    fun fits(gang: Job): Boolean = vcpus + ROUNDING_TOLERANCE >= gang.spec.vcpus && heartbeatBytes >= gang.heartbeatEntryBytes
}
