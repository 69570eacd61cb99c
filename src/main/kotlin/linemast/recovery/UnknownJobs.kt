package linemast.recovery

import linemast.domain.JobOutcome

/** What is known of a job that a worker reports and the leader does not know. */
enum class UnknownJobState {
    /** Its outcome has not been read yet. */
    UNDECIDED,

    /** Done or cancelled: what is left of it on workers may be stopped. */
    ENDED,

    /** The store has no record of it, confirmed by a second read: its submission was never acknowledged. */
    UNRECORDED,

    /** Its outcome is open, and the rest of its record is missing: its tasks and results are kept for operators. */
    INCONSISTENT,

    /** Its outcome could not be read in time; it is treated as if recovery were not enabled. */
    UNKNOWN,
}

/** The result of reading a job's outcome. */
sealed interface OutcomeLookup {
    /** The store holds [outcome] for the job. */
    data class Found(val outcome: JobOutcome) : OutcomeLookup

    /** The store has no record. */
    data object Absent : OutcomeLookup

    /** The store gave no readable result. */
    data object Failed : OutcomeLookup
}

/**
 * Jobs that workers report and the leader does not know; does no input or output itself.
 *
 * While a job is undecided its tasks go on and its results are kept. The tasks of a cancelled job have to be gone in time,
 * so a job stays undecided for no longer than [timeoutMicros]. An absent record is confirmed by another read after
 * [confirmationMicros].
 */
class UnknownJobs(private val confirmationMicros: Long, private val timeoutMicros: Long) {
    private class Entry(val firstReportedMicros: Long) {
        var state = UnknownJobState.UNDECIDED
        var isLookupPending = false
        var firstAbsentMicros: Long? = null

        /** Earliest time of the next lookup; null if it may begin at once. */
        var nextLookupMicros: Long? = null

        fun isLookupDue(nowMicros: Long): Boolean {
            if (state != UnknownJobState.UNDECIDED || isLookupPending) return false
            val earliest = nextLookupMicros
            return earliest == null || nowMicros >= earliest
        }
    }

    private val entries = LinkedHashMap<String, Entry>()

    /** Jobs that are neither done nor cancelled, for operators to look into. */
    val needingAttention: Map<String, UnknownJobState>
        get() = entries.mapValues { it.value.state }.filterValues { it != UnknownJobState.ENDED }

    /** Whether some job is undecided. */
    val hasUndecided: Boolean get() = entries.values.any { it.state == UnknownJobState.UNDECIDED }

    /** The state of [job], which a worker reports and the leader does not know. */
    fun observe(job: String, nowMicros: Long): UnknownJobState {
        val entry = entries.getOrPut(job) { Entry(nowMicros) }
        val isTimedOut = nowMicros - entry.firstReportedMicros > timeoutMicros
        if (entry.state == UnknownJobState.UNDECIDED && isTimedOut) entry.state = UnknownJobState.UNKNOWN
        while (entries.size > MAX_JOBS) entries.remove(entries.keys.first())
        return entry.state
    }

    /** Jobs whose outcome has to be read now; each is returned once until [recordLookup] was called for it. */
    fun takeDueLookups(nowMicros: Long): List<String> {
        val due = entries.filterValues { it.isLookupDue(nowMicros) }
        due.values.forEach { it.isLookupPending = true }
        return due.keys.toList()
    }

    /** Takes the result of reading the outcome of [job]; a state that is decided does not change any more. */
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
        if (firstAbsentMicros != null && nowMicros - firstAbsentMicros >= confirmationMicros) {
            entry.state = UnknownJobState.UNRECORDED
            return
        }
        val absentSinceMicros = firstAbsentMicros ?: nowMicros
        entry.firstAbsentMicros = absentSinceMicros
        entry.nextLookupMicros = absentSinceMicros + confirmationMicros
    }

    private companion object {
        const val LOOKUP_RETRY_INTERVAL_MICROS = 500_000L
        const val MAX_JOBS = 5_000
    }
}
