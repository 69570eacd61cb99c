package linemast.settings

import linemast.serialization.Fields
import linemast.time.SECOND_MICROS
import java.nio.file.Path

/** The operators' settings of single-holder duties; the values here hold for what a file leaves out. */
class DutySettings(
    /** Intents that are kept in the store at most, ended ones included. */
    val slots: Int = DEFAULT_SLOTS,
    /** For how long a rental without an answer is repeated, also by the next leader. */
    val scaleOutRetryMicros: Long = DEFAULT_ADOPT_MICROS,
    /** Duties that nobody carries out for now. */
    val suspended: Set<Duty> = emptySet(),
) {
    companion object {
        private const val DEFAULT_SLOTS = 128
        private const val MIN_SLOTS = 16
        private const val MAX_SLOTS = 1_000
        private const val DEFAULT_ADOPT_MICROS = 30 * SECOND_MICROS
        private const val MIN_ADOPT_SECONDS = 1.0
        private const val MAX_ADOPT_SECONDS = 600.0

        /** Reads and checks the file that enables single-holder duties. */
        fun read(path: Path): DutySettings = FeatureFile.read(path, "duties", ::from)

        /** Reads and checks the table of settings. */
        fun from(fields: Fields): DutySettings {
            FeatureFile.refuseUnknown(fields, setOf("slots", "adopt_within_s", "suspended"))
            return DutySettings(
                slots = FeatureFile.count(fields, "slots", MIN_SLOTS..MAX_SLOTS) ?: DEFAULT_SLOTS,
                scaleOutRetryMicros = FeatureFile.seconds(fields, "adopt_within_s", MIN_ADOPT_SECONDS, MAX_ADOPT_SECONDS)
                    ?: DEFAULT_ADOPT_MICROS,
                suspended = (fields.textsOrNull("suspended") ?: emptyList()).mapTo(LinkedHashSet()) { name ->
                    Duty.of(name) ?: fields.fail("suspended", "$name is not a duty")
                },
            )
        }
    }
}
