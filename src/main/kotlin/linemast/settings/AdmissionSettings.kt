package linemast.settings

import linemast.serialization.Fields
import linemast.time.SECOND_MICROS
import java.nio.file.Path

/**
 * The operators' settings of fair admission. A field that is absent from the file has the default value given here.
 *
 * @property epochMicros time between two admission plans of the leader while some flow is limited.
 * @property dwellMicros how long a limited flow goes on admitting a job id after the range of admitted positions has reached it, so that
 *   a user who retries a little late is still admitted.
 * @property intakeShare share of the store's write rate that new jobs may use, from their submission to their end.
 * @property maxOpenJobs number of unfinished jobs above which flows with more than their fair share of them are limited.
 */
class AdmissionSettings(
    val epochMicros: Long = DEFAULT_EPOCH_MICROS,
    val dwellMicros: Long = DEFAULT_DWELL_MICROS,
    val intakeShare: Double = DEFAULT_INTAKE_SHARE,
    val maxOpenJobs: Int = DEFAULT_MAX_OPEN_JOBS,
) {
    /** Returns the number of submissions per second that the store has capacity for. */
    fun submissionCapacity(limits: StoreLimits): Double = limits.maxWriteRps * intakeShare / WRITES_PER_JOB

    /** Defaults and limits of the settings, and the functions that read them. */
    companion object {
        private const val DEFAULT_EPOCH_MICROS = 2 * SECOND_MICROS
        private const val DEFAULT_DWELL_MICROS = 12 * SECOND_MICROS
        private const val DEFAULT_INTAKE_SHARE = 0.7
        private const val DEFAULT_MAX_OPEN_JOBS = 6_000

        /**
         * Writes for a job of one task: its outcome and its record at the submission, its activation before the first start, and its
         * outcome and its record again at its end.
         */
        private const val WRITES_PER_JOB = 5
        private const val MIN_EPOCH_SECONDS = 1.0
        private const val MAX_EPOCH_SECONDS = 10.0
        private const val MIN_DWELL_SECONDS = 5.0
        private const val MAX_DWELL_SECONDS = 60.0
        private const val MIN_SHARE = 0.05
        private const val MIN_OPEN_JOBS = 100
        private const val MAX_OPEN_JOBS = 20_000
        private val FIELDS = setOf("epoch_s", "dwell_s", "intake_share", "most_open_jobs")

        /** Reads and checks the file that enables fair admission; throws a [SettingsException] if the file cannot be used. */
        fun read(path: Path): AdmissionSettings = FeatureFile.read(path, "admission", ::from)

        /** Reads and checks the table of settings; throws a `MalformedException` that names the invalid field. */
        fun from(fields: Fields): AdmissionSettings {
            fields.rejectUnknownFields(FIELDS)
            return AdmissionSettings(
                epochMicros = fields.durationOrNull("epoch_s", MIN_EPOCH_SECONDS, MAX_EPOCH_SECONDS) ?: DEFAULT_EPOCH_MICROS,
                dwellMicros = fields.durationOrNull("dwell_s", MIN_DWELL_SECONDS, MAX_DWELL_SECONDS) ?: DEFAULT_DWELL_MICROS,
                intakeShare = fields.numberOrNull("intake_share", MIN_SHARE, 1.0) ?: DEFAULT_INTAKE_SHARE,
                maxOpenJobs = fields.countOrNull("most_open_jobs", MIN_OPEN_JOBS..MAX_OPEN_JOBS) ?: DEFAULT_MAX_OPEN_JOBS,
            )
        }
    }
}
