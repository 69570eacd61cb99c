package linemast.domain

/** Counts the failures of a job's tasks, and delays the job's next starts after several of them. */
class FailureBackOff {
    /** Number of failures on distinct machines since a task of the job was last completed. */
    var failures = 0
        private set

    /** Names of the machines where a task of the job has failed; no task of the job is started there again. */
    val failedOn = HashSet<String>()

    /** Time of the leader's clock before which no task of the job is started. */
    var untilMicros = 0L
        private set

    /**
     * Counts a failure. After [FAILURES_BEFORE_BACK_OFF] failures the starts of the job are delayed, because a job that fails
     * on every machine was submitted with a mistake.
     */
    fun recordFailure(nowMicros: Long) {
        failures++
        if (failures < FAILURES_BEFORE_BACK_OFF) return
        untilMicros = nowMicros + minOf(MAX_BACK_OFF_MICROS, INITIAL_BACK_OFF_MICROS shl minOf(failures - 1, MAX_DOUBLINGS))
    }

    /** Resets the failure count after a task of the job was completed. */
    fun recordSuccess() {
        failures = 0
    }

    private companion object {
        const val INITIAL_BACK_OFF_MICROS = 4_000_000L
        const val MAX_BACK_OFF_MICROS = 120_000_000L
        const val MAX_DOUBLINGS = 6
        const val FAILURES_BEFORE_BACK_OFF = 4
    }
}
