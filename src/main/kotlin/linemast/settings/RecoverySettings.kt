package linemast.settings

import linemast.serialization.Fields
import linemast.time.SECOND_MICROS
import java.nio.file.Path

/**
 * The operators' settings of the reconciliation after an outage; the values here hold for what a file leaves out.
 *
 * @property ordersPerSecond most starts and stops a second, over all workers, until what earlier leaders started is reconciled.
 * @property confirmMicros a job that the store has no record of is looked up once more after this long, before its tasks are ended.
 */
class RecoverySettings(val ordersPerSecond: Double = DEFAULT_ORDERS, val confirmMicros: Long = DEFAULT_CONFIRM_MICROS) {
    /** Reads the file that enables the reconciliation after an outage. */
    companion object {
        private const val DEFAULT_ORDERS = 200.0
        private const val MIN_ORDERS = 1.0
        private const val MAX_ORDERS = 100_000.0
        private const val DEFAULT_CONFIRM_MICROS = SECOND_MICROS
        private const val MIN_CONFIRM_SECONDS = 0.1
        private const val MAX_CONFIRM_SECONDS = 2.0
        private val FIELDS = setOf("orders_per_s", "confirm_s")

        /** Reads and checks the file that enables the reconciliation after an outage. */
        fun read(path: Path): RecoverySettings = FeatureFile.read(path, "recovery", ::from)

        /** Reads and checks the table of settings. */
        fun from(fields: Fields): RecoverySettings {
            fields.refuseUnknown(FIELDS)
            return RecoverySettings(
                ordersPerSecond = fields.numberOrNull("orders_per_s", MIN_ORDERS, MAX_ORDERS) ?: DEFAULT_ORDERS,
                confirmMicros = fields.durationOrNull("confirm_s", MIN_CONFIRM_SECONDS, MAX_CONFIRM_SECONDS) ?: DEFAULT_CONFIRM_MICROS,
            )
        }
    }
}
