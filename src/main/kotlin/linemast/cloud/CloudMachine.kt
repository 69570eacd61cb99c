package linemast.cloud

import linemast.domain.MachineShape
import linemast.domain.MachineType

/**
 * A machine that the cloud lists, or that it has granted and does not list yet.
 *
 * Times are readings of the leader's steady clock.
 *
 * @property name name that the cloud gave it; never reused.
 * @property type its machine type.
 * @property zone zone of the cloud that it stands in.
 * @property spot whether it is a spot machine, which the cloud may preempt.
 * @property createdMicros when it was granted.
 */
class CloudMachine(val name: String, val type: MachineType, val zone: String, val spot: Boolean, val createdMicros: Long) {
    /** Type, zone and price model together. */
    val shape = MachineShape(type, zone, spot)

    /** When a list last contained the machine. */
    var lastListedMicros = NEVER_LISTED_MICROS

    /** The cloud's own word for its state; [STARTING] until a list contains it. */
    var status = STARTING

    /** Whether its scale-in has been decided and not yet failed. */
    var isScalingIn = false

    /** Values of [status] that decisions depend on, and the mark of a machine that was never listed. */
    companion object {
        /** Status of a machine that is still booting. */
        const val STARTING = "starting"

        /** Status of a machine that has stopped on its own. */
        const val FAILED = "failed"

        /** [lastListedMicros] of a machine that no list has contained yet. */
        private const val NEVER_LISTED_MICROS = 0L
    }
}
