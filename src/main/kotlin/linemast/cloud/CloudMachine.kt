package linemast.cloud

import linemast.domain.MachineShape
import linemast.domain.MachineType

/**
 * A machine that the cloud lists, or that it has granted and does not list yet.
 *
 * Times are on the leader's steady clock.
 *
 * @property name name that the cloud assigned to the machine; never reused.
 * @property type machine type.
 * @property zone zone of the cloud in which the machine runs.
 * @property spot whether the machine is a spot machine, which the cloud may preempt.
 * @property createdMicros when the cloud granted the machine.
 */
class CloudMachine(val name: String, val type: MachineType, val zone: String, val spot: Boolean, val createdMicros: Long) {
    /** Machine type, zone, and whether the machine is spot or on-demand. */
    val shape = MachineShape(type, zone, spot)

    /** When the cloud's list last contained the machine; [NEVER_LISTED_MICROS] until it does. */
    var lastListedMicros = NEVER_LISTED_MICROS

    /** Status of the machine as the cloud reports it; [STARTING] until the cloud's list contains the machine. */
    var status = STARTING

    /** Whether the scale-in of the machine has been decided and has not failed. */
    var isScalingIn = false

    /** Values of [status] that scaling decisions depend on, and the value of [lastListedMicros] for a machine that was never listed. */
    companion object {
        /** Status of a machine that is still booting. */
        const val STARTING = "starting"

        /** Status of a machine that has stopped on its own. */
        const val FAILED = "failed"

        /** Value of [lastListedMicros] for a machine that the cloud's list has not contained yet. */
        private const val NEVER_LISTED_MICROS = 0L
    }
}
