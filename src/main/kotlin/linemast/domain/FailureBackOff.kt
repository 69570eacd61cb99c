package linemast.domain

/** Failures of a job's tasks, and the delay of its next starts that follows from them. */
class FailureBackOff {
    /** Failures on distinct machines since a task was last completed. */
    var failures = 0
        private set

    /** Names of the machines where a task of the job has failed; none is started there again. */
    val failedOn = HashSet<String>()

    /** No task is started before this time. */
    var untilMicros = 0L
        private set

    /** Counts a failure. A job that fails wherever it runs was submitted with a mistake, so its starts are delayed. */
    fun recordFailure(nowMicros: Long) {
        failures++
        if (failures < FAILURES_BEFORE_BACK_OFF) return
        untilMicros = nowMicros + minOf(MAX_BACK_OFF_MICROS, INITIAL_BACK_OFF_MICROS shl minOf(failures - 1, MAX_DOUBLINGS))
    }

    /** A task was completed: earlier failures do not count any more. */
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
