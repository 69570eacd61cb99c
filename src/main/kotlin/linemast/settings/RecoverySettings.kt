package linemast.settings

import linemast.serialization.Fields
import linemast.time.SECOND_MICROS
import java.nio.file.Path

/**
 * The operators' settings of the reconciliation after an outage; the values here hold for what a file leaves out.
 *
 * @property commandsPerSecond most starts and stops a second, over all workers, until what earlier leaders started is reconciled.
 * @property confirmationDelayMicros a job that the store has no record of is looked up once more after this long, before its tasks are
 *   ended.
 */
class RecoverySettings(val commandsPerSecond: Double = DEFAULT_COMMAND_RATE, val confirmationDelayMicros: Long = DEFAULT_DELAY_MICROS) {
    /** Reads the file that enables the reconciliation after an outage. */
    companion object {
        private const val DEFAULT_COMMAND_RATE = 200.0
        private const val MIN_COMMAND_RATE = 1.0
        private const val MAX_COMMAND_RATE = 100_000.0
        private const val DEFAULT_DELAY_MICROS = SECOND_MICROS
        private const val MIN_DELAY_SECONDS = 0.1
        private const val MAX_DELAY_SECONDS = 2.0
        private val FIELDS = setOf("orders_per_s", "confirm_s")

        /** Reads and checks the file that enables the reconciliation after an outage. */
        fun read(path: Path): RecoverySettings = FeatureFile.read(path, "recovery", ::from)

        /** Reads and checks the table of settings. */
        fun from(fields: Fields): RecoverySettings {
            fields.rejectUnknownFields(FIELDS)
            return RecoverySettings(
                commandsPerSecond = fields.numberOrNull("orders_per_s", MIN_COMMAND_RATE, MAX_COMMAND_RATE) ?: DEFAULT_COMMAND_RATE,
                confirmationDelayMicros = fields.durationOrNull("confirm_s", MIN_DELAY_SECONDS, MAX_DELAY_SECONDS) ?: DEFAULT_DELAY_MICROS,
            )
        }
    }
}
