package linemast.recovery

import linemast.domain.JobOutcome

/** What the store says of a job that a worker reports and the leader does not know. */
enum class UnknownJobState {
    /** Nothing has been read yet. */
    UNDECIDED,

    /** Done or cancelled: whatever is left of it on workers may go. */
    OVER,

    /** The store has no record of it, also not when asked again: no user was ever told that it is accepted. */
    UNRECORDED,

    /** Its verdict is open, and the rest of its record is missing: its tasks and results are kept, for an operator to look at. */
    INCONSISTENT,

    /** It could not be found out in time; it is treated as without this subsystem. */
    UNKNOWN,
}

/** What a read of a job's verdict brought. */
sealed interface OutcomeLookup {
    /** The store has this verdict. */
    data class Found(val outcome: JobOutcome) : OutcomeLookup

    /** The store has no record. */
    data object Absent : OutcomeLookup

    /** The store did not answer. */
    data object NoAnswer : OutcomeLookup
}

/**
 * Jobs that workers report and the leader does not know; pure.
 *
 * Until it is decided what they are, their tasks go on and their results are kept. A cancelled job's tasks have to be gone
 * in time, so that a job which stays undecided is not waited for longer than [patienceMicros].
 */
class UnknownJobs(private val confirmMicros: Long, private val patienceMicros: Long) {
    private class Entry(val sinceMicros: Long) {
        var state = UnknownJobState.UNDECIDED
        var isAsked = false
        var absentMicros: Long? = null
        var askAgainMicros = 0L
    }

    private val entries = LinkedHashMap<String, Entry>()

    /** Jobs that are not simply over, for operators to look at. */
    val suspect: Map<String, UnknownJobState> get() = entries.mapValues { it.value.state }.filterValues { it != UnknownJobState.OVER }

    /** Whether some job is undecided. */
    val hasUndecided: Boolean get() = entries.values.any { it.state == UnknownJobState.UNDECIDED }

    /** A worker reports [job], which the leader does not know. */
    fun reported(job: String, nowMicros: Long): UnknownJobState {
        val entry = entries.getOrPut(job) { Entry(nowMicros) }
        if (entry.state == UnknownJobState.UNDECIDED &&
            nowMicros - entry.sinceMicros > patienceMicros
        ) {
            entry.state = UnknownJobState.UNKNOWN
        }
        while (entries.size > MAX_JOBS) entries.remove(entries.keys.first())
        return entry.state
    }

    /** Jobs whose verdict is to be read now; each is asked for once until its answer has come. */
    fun toAsk(nowMicros: Long): List<String> {
        val due = entries.filterValues { it.state == UnknownJobState.UNDECIDED && !it.isAsked && nowMicros >= it.askAgainMicros }
        due.values.forEach { it.isAsked = true }
        return due.keys.toList()
    }

    /** What a read of the verdict of [job] brought. */
    fun answered(job: String, answer: OutcomeLookup, nowMicros: Long) {
        val entry = entries[job] ?: return
        entry.isAsked = false
        if (entry.state != UnknownJobState.UNDECIDED) return
        when (answer) {
            is OutcomeLookup.Found -> entry.state = if (answer.outcome.isTerminal) UnknownJobState.OVER else UnknownJobState.INCONSISTENT
            OutcomeLookup.Absent -> absent(entry, nowMicros)
            OutcomeLookup.NoAnswer -> entry.askAgainMicros = nowMicros + RETRY_MICROS
        }
    }

    private fun absent(entry: Entry, nowMicros: Long) {
        val first = entry.absentMicros
        if (first != null && nowMicros - first >= confirmMicros) {
            entry.state = UnknownJobState.UNRECORDED
        } else {
            entry.absentMicros = first ?: nowMicros
            entry.askAgainMicros = (first ?: nowMicros) + confirmMicros
        }
    }

    private companion object {
        const val RETRY_MICROS = 500_000L
        const val MAX_JOBS = 5_000
    }
}
