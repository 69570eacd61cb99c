package linemast.settings

import linemast.serialization.Fields
import linemast.time.SECOND_MICROS
import java.nio.file.Path

/** The operators' settings of the intent log; the defaults apply to whatever their file leaves out. */
class DutySettings(
    /** Number of intents kept in the store, closed ones included. */
    val slots: Int = DEFAULT_SLOTS,
    /** How long a scale-out request without an answer is repeated, counted across leaders. */
    val scaleOutRetryMicros: Long = DEFAULT_SCALE_OUT_RETRY_MICROS,
    /** Duties of which no new action is begun. */
    val suspended: Set<Duty> = emptySet(),
) {
    /** Defaults, limits and the reading of settings. */
    companion object {
        private const val DEFAULT_SLOTS = 128
        private const val MIN_SLOTS = 16
        private const val MAX_SLOTS = 1_000
        private const val DEFAULT_SCALE_OUT_RETRY_MICROS = 30 * SECOND_MICROS
        private const val MIN_SCALE_OUT_RETRY_SECONDS = 1.0
        private const val MAX_SCALE_OUT_RETRY_SECONDS = 600.0

        /** Reads and checks the file that enables the intent log; throws a [SettingsException] for invalid settings. */
        fun read(path: Path): DutySettings = FeatureFile.read(path, "duties", ::from)

        /** Reads and checks the table of settings; throws a `MalformedException` for invalid ones. */
        fun from(fields: Fields): DutySettings {
            FeatureFile.refuseUnknown(fields, setOf("slots", "adopt_within_s", "suspended"))
            return DutySettings(
                slots = FeatureFile.count(fields, "slots", MIN_SLOTS..MAX_SLOTS) ?: DEFAULT_SLOTS,
                scaleOutRetryMicros =
                FeatureFile.seconds(fields, "adopt_within_s", MIN_SCALE_OUT_RETRY_SECONDS, MAX_SCALE_OUT_RETRY_SECONDS)
                    ?: DEFAULT_SCALE_OUT_RETRY_MICROS,
                suspended = (fields.textsOrNull("suspended") ?: emptyList()).mapTo(LinkedHashSet()) { name ->
                    Duty.of(name) ?: fields.fail("suspended", "$name is not a duty")
                },
            )
        }
    }
}
