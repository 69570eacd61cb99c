package linemast.jobs

/**
 * Whether a job needs one that was withdrawn, directly or through others.
 *
 * Such a job cannot have started, so any controller may withdraw it too, without the leader. Verdicts that are final are
 * remembered by [verdictOf]; only jobs that are still open are read.
 */
internal class Ancestry(private val verdictOf: suspend (String) -> VerdictRecord?) {
    /**
     * Looks at no more than [MOST_VISITED] jobs, the nearest first: beyond that it is left to the leader, which withdraws
     * what needs a withdrawn job in the background, so that the withdrawn one comes nearer.
     */
    suspend fun hasWithdrawn(record: VerdictRecord): Boolean {
        val seen = LinkedHashSet(record.awaits)
        val next = ArrayDeque(record.awaits)
        var visited = 0
        while (next.isNotEmpty() && visited++ < MOST_VISITED) {
            val needed = verdictOf(next.removeFirst()) ?: continue
            when (needed.verdict) {
                Verdict.WITHDRAWN -> return true
                Verdict.DONE -> Unit
                Verdict.OPEN -> needed.awaits.forEach { if (seen.add(it)) next += it }
            }
        }
        return false
    }

    private companion object {
        const val MOST_VISITED = 64
    }
}
