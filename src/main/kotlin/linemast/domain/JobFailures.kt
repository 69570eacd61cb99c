package linemast.domain

/** The failures of one job's tasks: where tasks have failed, and how long the job's next starts are delayed. */
class JobFailures {
    /** Number of failures since a task of the job was last completed; those on one machine count once. */
    var count = 0
        private set

    /** Names of the machines where a task of the job has failed; no task of the job is started there again. */
    val failedOn = HashSet<String>()

    /** Names of the machines where a task of the job has failed since one was last completed. */
    private val machinesSinceSuccess = HashSet<String>()

    /** Time of the leader's clock before which no task of the job is started. */
    var backOffUntilMicros = 0L
        private set

    /**
     * Whether the job rather than a machine is the likely cause of its failures: tasks have failed on [SUSPECT_MACHINES] machines and
     * none has completed since. Such a failure does not count against a machine.
     */
    var isJobSuspected = false
        private set

    /**
     * Records a failure on the machine called [machineName]; returns false if an earlier one on that machine is recorded.
     *
     * After [FAILURES_BEFORE_BACK_OFF] failures the starts of the job are delayed, because a job that fails on every machine was
     * submitted with a mistake.
     */
    fun recordFailure(machineName: String): Boolean {
        machinesSinceSuccess += machineName
        return failedOn.add(machineName)
    }

    /** Counts a recorded failure, and delays the next starts after several of them. */
    fun delayStarts(nowMicros: Long) {
        count++
        if (count < FAILURES_BEFORE_BACK_OFF) return
        backOffUntilMicros = nowMicros + minOf(MAX_BACK_OFF_MICROS, INITIAL_BACK_OFF_MICROS shl minOf(count - 1, MAX_DOUBLINGS))
    }

    /** Forgets the failures that count against the job, after one of its tasks was completed. */
    fun recordSuccess() {
        count = 0
        machinesSinceSuccess.clear()
        isJobSuspected = false
    }

    /**
     * Determines [isJobSuspected] anew. A job is not suspected while its tasks, those in [placements], run on at least as many
     * machines without a failure as they have failed on.
     */
    fun updateSuspicion(placements: Collection<Placement>) {
        isJobSuspected = machinesSinceSuccess.size >= SUSPECT_MACHINES && machinesSinceSuccess.size > runningElsewhere(placements)
    }

    private fun runningElsewhere(placements: Collection<Placement>): Int = placements.filter { it.isRunning }
        .mapTo(HashSet()) { it.machine.name }
        .count { it !in machinesSinceSuccess }

    private companion object {
        const val INITIAL_BACK_OFF_MICROS = 4_000_000L
        const val MAX_BACK_OFF_MICROS = 120_000_000L
        const val MAX_DOUBLINGS = 6
        const val FAILURES_BEFORE_BACK_OFF = 4

        /** Number of machines on which a job has to fail before it is suspected. */
        const val SUSPECT_MACHINES = 3
    }
}
