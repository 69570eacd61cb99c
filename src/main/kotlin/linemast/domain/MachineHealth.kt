package linemast.domain

/**
 * Whether a machine is fit to run tasks, as far as failures of tasks show it.
 *
 * A failure says something about the machine and about the job. It counts against the machine unless the job fails on other machines
 * too ([JobFailures.isJobSuspected]) or is cancelled. The machine is quarantined after [FAILURES_BEFORE_QUARANTINE] failures, of several
 * jobs or of one that was started here again, if no task that was started after them has completed. A quarantine ends by itself: after
 * its time the machine is on trial, with one task at a time, and after the trial it gets tasks as before. A failure after the end of a
 * quarantine begins the next one, which is longer.
 *
 * All of this is derived from the recorded failures and the time by [update], so that it does not depend on the order in which the
 * failures, completions and cancellations become known. Times are on the leader's steady clock.
 */
class MachineHealth {
    /** Whether the machine gets starts. */
    enum class State {
        /** The machine gets starts. */
        OPEN,

        /** The machine gets a start only while it holds no task. */
        ON_TRIAL,

        /** The machine gets no starts. */
        QUARANTINED,
    }

    private class Failure(val job: Job, val micros: Long) {
        val countsAgainstMachine get() = !job.cancelled && !job.failures.isJobSuspected
    }

    private class Quarantine(val number: Int, startMicros: Long) {
        val endMicros = startMicros + minOf(MAX_QUARANTINE_MICROS, FIRST_QUARANTINE_MICROS shl minOf(number - 1, MAX_DOUBLINGS))
    }

    private val failures = ArrayList<Failure>()

    /** The state as of the latest [update]. */
    var state = State.OPEN
        private set

    /** Number of quarantines since a task last completed that was started after a failure; 0 if there was none. */
    var quarantineCount = 0
        private set

    /** Number of jobs whose failures count against the machine, as of the latest [update]. */
    var failedJobCount = 0
        private set

    /** Whether any failure is recorded. */
    val hasFailures: Boolean get() = failures.isNotEmpty()

    /**
     * Records that a task of [job] has failed whose start was sent at [startedMicros]. Returns false if the task was started before an
     * earlier failure of the same job, such as another task of an array: that says nothing new about the machine.
     */
    fun recordFailure(job: Job, startedMicros: Long, nowMicros: Long): Boolean {
        if (failures.any { it.job === job && startedMicros <= it.micros }) return false
        failures += Failure(job, nowMicros)
        return true
    }

    /**
     * Records that a task has completed whose start was sent at [startedMicros]: it shows that earlier failures are over. Returns the
     * jobs of these failures.
     */
    fun recordCompletion(startedMicros: Long): List<Job> {
        val isOver = failures.filter { it.micros < startedMicros }
        failures.removeAll(isOver.toSet())
        return isOver.map { it.job }
    }

    /** Determines the state at [nowMicros]; returns whether it has changed. */
    fun update(nowMicros: Long): Boolean {
        failures.removeIf { nowMicros - it.micros > RETENTION_MICROS }
        val counting = failures.filter { it.countsAgainstMachine }
        failedJobCount = counting.distinctBy { it.job }.size
        val quarantine = latestQuarantine(counting)
        quarantineCount = quarantine?.number ?: 0
        val previous = state
        state = when {
            quarantine == null || nowMicros >= quarantine.endMicros + TRIAL_MICROS -> State.OPEN
            nowMicros >= quarantine.endMicros -> State.ON_TRIAL
            else -> State.QUARANTINED
        }
        return state != previous
    }

    /** Returns the quarantine that the latest of [counting], in the order of time, has begun; null if there are too few. */
    private fun latestQuarantine(counting: List<Failure>): Quarantine? {
        val decisive = counting.getOrNull(FAILURES_BEFORE_QUARANTINE - 1) ?: return null
        return counting.fold(Quarantine(1, decisive.micros)) { quarantine, failure ->
            if (failure.micros < quarantine.endMicros) quarantine else Quarantine(quarantine.number + 1, failure.micros)
        }
    }

    private companion object {
        const val FAILURES_BEFORE_QUARANTINE = 2
        const val FIRST_QUARANTINE_MICROS = 30_000_000L

        /** With [TRIAL_MICROS] less than the 90 s that a job may wait beside a machine with room. */
        const val MAX_QUARANTINE_MICROS = 60_000_000L
        const val MAX_DOUBLINGS = 4
        const val TRIAL_MICROS = 20_000_000L

        /** After this time a failure says nothing any more about the machine. */
        const val RETENTION_MICROS = 900_000_000L
    }
}
