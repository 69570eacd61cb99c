package linemast.settings

import linemast.serialization.Fields
import linemast.time.SECOND_MICROS
import java.nio.file.Path

/**
 * The operators' settings of fair admission; the values here hold for what a file leaves out. Durations are in microseconds.
 *
 * @property epochMicros between two plans of the leader while some flow is limited.
 * @property dwellMicros for how long an id stays admitted once it had its turn, so that its user can come back a little late.
 * @property intakeShare share of the store's writes that new jobs may use, from their submission to their end.
 * @property maxOpenJobs most unfinished jobs at one time; beyond it, flows with more than their fair share of them are limited.
 */
class AdmissionSettings(
    val epochMicros: Long = DEFAULT_EPOCH_MICROS,
    val dwellMicros: Long = DEFAULT_DWELL_MICROS,
    val intakeShare: Double = DEFAULT_INTAKE_SHARE,
    val maxOpenJobs: Int = DEFAULT_MAX_OPEN_JOBS,
) {
    /** Submissions a second that the store has capacity for. */
    fun submissionCapacity(limits: StoreLimits): Double = limits.maxWriteRps * intakeShare / WRITES_PER_JOB

    /** Reads the file that enables fair admission. */
    companion object {
        private const val DEFAULT_EPOCH_MICROS = 2 * SECOND_MICROS
        private const val DEFAULT_DWELL_MICROS = 12 * SECOND_MICROS
        private const val DEFAULT_INTAKE_SHARE = 0.7
        private const val DEFAULT_MAX_OPEN_JOBS = 6_000

        /** Of a job of one task: its outcome and record at the submission, the note that it may start, and both again at its end. */
        private const val WRITES_PER_JOB = 5
        private const val MIN_EPOCH_SECONDS = 1.0
        private const val MAX_EPOCH_SECONDS = 10.0
        private const val MIN_DWELL_SECONDS = 5.0
        private const val MAX_DWELL_SECONDS = 60.0
        private const val MIN_SHARE = 0.05
        private const val MIN_OPEN_JOBS = 100
        private const val MAX_OPEN_JOBS = 20_000
        private val FIELDS = setOf("epoch_s", "dwell_s", "intake_share", "most_open_jobs")

        /** Reads and checks the file that enables fair admission. */
        fun read(path: Path): AdmissionSettings = FeatureFile.read(path, "admission", ::from)

        /** Reads and checks the table of settings. */
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
