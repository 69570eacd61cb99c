package linemast.recovery

import linemast.domain.JobOutcome

/** State of a job that a worker reports and that is unknown to the leader. */
enum class UnknownJobState {
    /** The lookups of its outcome have not led to a decision yet. */
    UNDECIDED,

    /** The job is done or cancelled: its remaining tasks on workers may be stopped. */
    ENDED,

    /** The store has no record of the job, confirmed by a second read: its submission was never acknowledged. */
    UNRECORDED,

    /** The job's outcome is open, but the rest of its record is missing: its tasks and results are kept for operators. */
    INCONSISTENT,

    /**
     * The job's outcome could not be read in time: its tasks may be stopped and its results discarded, as those of every job that is
     * unknown to the leader if recovery is not enabled.
     */
    UNKNOWN,
}

/** The result of a lookup of a job's outcome in the store. */
sealed interface OutcomeLookup {
    /** The store holds [outcome] for the job. */
    data class Found(val outcome: JobOutcome) : OutcomeLookup

    /** The store has no record of the job. */
    data object Absent : OutcomeLookup

    /** The store did not respond, or holds a malformed record. */
    data object Failed : OutcomeLookup
}

/**
 * Jobs that workers report and that are unknown to the leader; performs no I/O itself.
 *
 * While a job is undecided, its tasks keep running and its results are kept. The job may have been cancelled, and the tasks
 * of a cancelled job have to end in time, so a job stays undecided for at most [timeoutMicros] after the first report of it.
 * That the store has no record of a job is confirmed by another read after [confirmationDelayMicros].
 */
class UnknownJobs(private val confirmationDelayMicros: Long, private val timeoutMicros: Long) {
    private class Entry(val firstReportedMicros: Long) {
        var state = UnknownJobState.UNDECIDED
        var isLookupPending = false
        var firstAbsentMicros: Long? = null

        /** Earliest time of the next lookup; null if the lookup may begin at once. */
        var nextLookupMicros: Long? = null

        fun isLookupDue(nowMicros: Long): Boolean {
            if (state != UnknownJobState.UNDECIDED || isLookupPending) return false
            val earliest = nextLookupMicros
            return earliest == null || nowMicros >= earliest
        }
    }

    private val entries = LinkedHashMap<String, Entry>()

    /** Jobs that are not known to be done or cancelled, for operators to investigate. */
    val needingAttention: Map<String, UnknownJobState>
        get() = entries.mapValues { it.value.state }.filterValues { it != UnknownJobState.ENDED }

    /** Whether any job is undecided. */
    val hasUndecided: Boolean get() = entries.values.any { it.state == UnknownJobState.UNDECIDED }

    /** Records a report of [job], which is unknown to the leader, and returns the state of the job. */
    fun observe(job: String, nowMicros: Long): UnknownJobState {
        val entry = entries.getOrPut(job) { Entry(nowMicros) }
        val isTimedOut = nowMicros - entry.firstReportedMicros > timeoutMicros
        if (entry.state == UnknownJobState.UNDECIDED && isTimedOut) entry.state = UnknownJobState.UNKNOWN
        while (entries.size > MAX_TRACKED_JOBS) entries.remove(entries.keys.first())
        return entry.state
    }

    /** Returns the jobs whose outcome has to be read now; a job is not returned again before [recordLookup] is called for it. */
    fun takeDueLookups(nowMicros: Long): List<String> {
        val due = entries.filterValues { it.isLookupDue(nowMicros) }
        due.values.forEach { it.isLookupPending = true }
        return due.keys.toList()
    }

    /** Records the result of a lookup of the outcome of [job]; a decided state does not change any more. */
    fun recordLookup(job: String, lookup: OutcomeLookup, nowMicros: Long) {
        val entry = entries[job] ?: return
        entry.isLookupPending = false
        if (entry.state != UnknownJobState.UNDECIDED) return
        when (lookup) {
            is OutcomeLookup.Found -> entry.state = stateOf(lookup.outcome)
            OutcomeLookup.Absent -> recordAbsence(entry, nowMicros)
            OutcomeLookup.Failed -> entry.nextLookupMicros = nowMicros + LOOKUP_RETRY_INTERVAL_MICROS
        }
    }

    private fun stateOf(outcome: JobOutcome): UnknownJobState =
        if (outcome.isTerminal) UnknownJobState.ENDED else UnknownJobState.INCONSISTENT

    private fun recordAbsence(entry: Entry, nowMicros: Long) {
        val firstAbsentMicros = entry.firstAbsentMicros
        if (firstAbsentMicros != null && nowMicros - firstAbsentMicros >= confirmationDelayMicros) {
            entry.state = UnknownJobState.UNRECORDED
            return
        }
        val absentSinceMicros = firstAbsentMicros ?: nowMicros
        entry.firstAbsentMicros = absentSinceMicros
        entry.nextLookupMicros = absentSinceMicros + confirmationDelayMicros
    }

    private companion object {
        const val LOOKUP_RETRY_INTERVAL_MICROS = 500_000L

        /** If more jobs are tracked, the ones reported first are removed; the next report of such a job begins its lookups again. */
        const val MAX_TRACKED_JOBS = 5_000
    }
}
