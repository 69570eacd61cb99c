package linemast.domain

/**
 * The failures of one job's tasks: on which machines none is started for a time, how long all starts are delayed, and whether the job
 * itself is the likely cause. Times are on the leader's steady clock.
 */
class JobFailures {
    /** Number of failures since a task of the job was last completed; those on one machine count once while it is excluded. */
    var count = 0
        private set

    /** Time before which no task of the job is started. */
    var backOffUntilMicros = 0L
        private set

    /**
     * Whether the job rather than a machine is the likely cause of its failures: tasks have failed on [SUSPECT_MACHINES] machines and
     * none has completed since. Such failures do not count against machines, and one task of the job is started at a time.
     */
    var isJobSuspected = false
        private set

    /** Until when no task of the job is started on a machine, by machine name. */
    private val excludedUntilMicros = HashMap<String, Long>()

    /** Names of the machines where a task of the job has failed since one was last completed. */
    private val machinesSinceSuccess = HashSet<String>()

    /** Whether there is anything that [update] could change. */
    val needsUpdate: Boolean get() = machinesSinceSuccess.isNotEmpty() || excludedUntilMicros.isNotEmpty()

    /** Whether no task of the job is started on the machine called [machineName], since one has failed there. */
    fun isExcluded(machineName: String): Boolean = machineName in excludedUntilMicros

    /** Records a failure on the machine called [machineName]; returns false if the job was excluded from that machine already. */
    fun recordFailure(machineName: String, nowMicros: Long): Boolean {
        machinesSinceSuccess += machineName
        return excludedUntilMicros.put(machineName, nowMicros + EXCLUSION_MICROS) == null
    }

    /**
     * Counts a recorded failure. After [FAILURES_BEFORE_BACK_OFF] failures the starts of the job are delayed, because a job that fails
     * on every machine was submitted with a mistake.
     */
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

    /** Ends the exclusion from a machine, after a task that was started there later was completed. A suspected job stays excluded. */
    fun recordSuccessOn(machineName: String) {
        if (!isJobSuspected) excludedUntilMicros.remove(machineName)
    }

    /**
     * Ends exclusions that are over, and determines [isJobSuspected] anew from the [placements] of the job. Returns whether that lets
     * tasks be started that could not be before.
     */
    fun update(placements: Collection<Placement>, nowMicros: Long): Boolean {
        val wasSuspected = isJobSuspected
        isJobSuspected = machinesSinceSuccess.size >= SUSPECT_MACHINES && !runsElsewhere(placements, nowMicros)
        val isExclusionOver = excludedUntilMicros.values.removeIf { nowMicros >= it }
        return isExclusionOver || (wasSuspected && !isJobSuspected)
    }

    /** Whether tasks run on at least as many machines as they have failed on, or one has been running for [TRIAL_MICROS]. */
    private fun runsElsewhere(placements: Collection<Placement>, nowMicros: Long): Boolean {
        val running = placements.filter { it.isRunning && it.machine.name !in machinesSinceSuccess }
        if (running.any { nowMicros - it.runningSinceMicros >= TRIAL_MICROS }) return true
        return running.distinctBy { it.machine.name }.size >= machinesSinceSuccess.size
    }

    private companion object {
        const val INITIAL_BACK_OFF_MICROS = 4_000_000L

        /** Like [EXCLUSION_MICROS] less than the 90 s that a job may wait beside a machine with room. */
        const val MAX_BACK_OFF_MICROS = 60_000_000L
        const val MAX_DOUBLINGS = 6
        const val FAILURES_BEFORE_BACK_OFF = 4
        const val EXCLUSION_MICROS = 60_000_000L

        /** Number of machines on which a job has to fail before it is suspected. */
        const val SUSPECT_MACHINES = 3
        const val TRIAL_MICROS = 20_000_000L
    }
}
