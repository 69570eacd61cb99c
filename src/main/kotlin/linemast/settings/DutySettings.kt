package linemast.settings

import linemast.serialization.Fields
import linemast.time.SECOND_MICROS
import java.nio.file.Path

/**
 * The operators' settings of the intent log. A field that is absent from the file has the default value given here.
 *
 * @property slots number of intents that the store keeps, including closed intents.
 * @property scaleOutRetryTimeoutMicros how long a scale-out request that gets no response is retried. The time continues across a
 *   change of the leader.
 * @property suspended duties for which no new action is begun.
 */
class DutySettings(
    val slots: Int = DEFAULT_SLOTS,
    val scaleOutRetryTimeoutMicros: Long = DEFAULT_RETRY_TIMEOUT_MICROS,
    val suspended: Set<Duty> = emptySet(),
) {
    /** Defaults and limits of the settings, and the functions that read them. */
    companion object {
        private const val DEFAULT_SLOTS = 128
        private const val MIN_SLOTS = 16
        private const val MAX_SLOTS = 1_000
        private const val DEFAULT_RETRY_TIMEOUT_MICROS = 30 * SECOND_MICROS
        private const val MIN_RETRY_TIMEOUT_SECONDS = 1.0
        private const val MAX_RETRY_TIMEOUT_SECONDS = 600.0
        private val FIELDS = setOf("slots", "adopt_within_s", "suspended")

        /** Reads and checks the file that enables the intent log; throws a [SettingsException] if the file cannot be used. */
        fun read(path: Path): DutySettings = FeatureFile.read(path, "duties", ::from)

        /** Reads and checks the table of settings; throws a `MalformedException` that names the invalid field. */
        fun from(fields: Fields): DutySettings {
            fields.rejectUnknownFields(FIELDS)
            return DutySettings(
                slots = fields.countOrNull("slots", MIN_SLOTS..MAX_SLOTS) ?: DEFAULT_SLOTS,
                scaleOutRetryTimeoutMicros = fields.durationOrNull("adopt_within_s", MIN_RETRY_TIMEOUT_SECONDS, MAX_RETRY_TIMEOUT_SECONDS)
                    ?: DEFAULT_RETRY_TIMEOUT_MICROS,
                suspended = suspended(fields),
            )
        }

        private fun suspended(fields: Fields): Set<Duty> = (fields.textsOrNull("suspended") ?: emptyList()).mapTo(LinkedHashSet()) { name ->
            Duty.of(name) ?: fields.fail("suspended", "$name is not a duty: rent, return, reclaim or clean-up")
        }
    }
}
