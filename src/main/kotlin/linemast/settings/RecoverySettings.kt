package linemast.settings

import linemast.serialization.Fields
import linemast.time.SECOND_MICROS
import java.nio.file.Path

/**
 * The operators' settings of the reconciliation after an outage. A field that is absent from the file has the default value given here.
 *
 * @property commandsPerSecond maximum number of start and stop commands per second to all workers together, until all tasks that
 *   previous leaders started are reconciled.
 * @property confirmationDelayMicros delay before a job without a record in the store is looked up a second time. Its tasks are stopped
 *   only after the second lookup.
 */
class RecoverySettings(val commandsPerSecond: Double = DEFAULT_COMMAND_RATE, val confirmationDelayMicros: Long = DEFAULT_DELAY_MICROS) {
    /** Defaults and limits of the settings, and the functions that read them. */
    companion object {
        private const val DEFAULT_COMMAND_RATE = 200.0
        private const val MIN_COMMAND_RATE = 1.0
        private const val MAX_COMMAND_RATE = 100_000.0
        private const val DEFAULT_DELAY_MICROS = SECOND_MICROS
        private const val MIN_DELAY_SECONDS = 0.1
        private const val MAX_DELAY_SECONDS = 2.0
        private val FIELDS = setOf("orders_per_s", "confirm_s")

        /**
         * Reads and checks the file that enables the reconciliation after an outage; throws a [SettingsException] if the file cannot be
         * used.
         */
        fun read(path: Path): RecoverySettings = FeatureFile.read(path, "recovery", ::from)

        /** Reads and checks the table of settings; throws a `MalformedException` that names the invalid field. */
        fun from(fields: Fields): RecoverySettings {
            fields.rejectUnknownFields(FIELDS)
            return RecoverySettings(
                commandsPerSecond = fields.numberOrNull("orders_per_s", MIN_COMMAND_RATE, MAX_COMMAND_RATE) ?: DEFAULT_COMMAND_RATE,
                confirmationDelayMicros = fields.durationOrNull("confirm_s", MIN_DELAY_SECONDS, MAX_DELAY_SECONDS) ?: DEFAULT_DELAY_MICROS,
            )
        }
    }
}
