package linemast.autoscaling

/**
 * Distinguishes a pause between submissions from the end of demand.
 *
 * Baseline machines are kept through pauses, because replacing them is slow and they may not be available again. Once nothing
 * has been submitted for many times the usual gap between submissions, keeping baseline machines idle only costs money. The
 * usual gap is the average of the latest submissions, so that a burst long ago does not make an ordinary pause look like the
 * end of demand. Only time in which jobs can be submitted counts: outages do not.
 */
class DemandMonitor {
    private val latestSubmissions = ArrayDeque<Long>()
    private var sinceSubmissionMicros = 0L
    private var lastTickMicros: Long? = null

    /** Records that a job was submitted. */
    fun recordSubmission(nowMicros: Long) {
        latestSubmissions.addLast(nowMicros)
        if (latestSubmissions.size > MAX_SUBMISSIONS) latestSubmissions.removeFirst()
        sinceSubmissionMicros = 0
    }

    /**
     * Adds the time since the previous call to the time without submissions. To be called several times a second while submissions
     * are possible; more than [MAX_TICK_MICROS] between two calls counts as an outage and is not added.
     */
    fun tick(nowMicros: Long) {
        val elapsedMicros = lastTickMicros?.let { nowMicros - it } ?: 0L
        if (elapsedMicros <= MAX_TICK_MICROS) sinceSubmissionMicros += elapsedMicros
        lastTickMicros = nowMicros
    }

    /** Whether nothing has been submitted for so long that no further submissions are expected. */
    fun hasCeased(): Boolean {
        if (latestSubmissions.size < MIN_SUBMISSIONS) return false
        val averageGapMicros = (latestSubmissions.last() - latestSubmissions.first()) / (latestSubmissions.size - 1)
        return sinceSubmissionMicros > maxOf(MAX_GAPS * averageGapMicros, MIN_PAUSE_MICROS)
    }

    private companion object {
        const val MAX_SUBMISSIONS = 16

        /** Fewer submissions are too few to determine the usual gap. */
        const val MIN_SUBMISSIONS = 8
        const val MAX_GAPS = 10
        const val MIN_PAUSE_MICROS = 40_000_000L
        const val MAX_TICK_MICROS = 1_000_000L
    }
}
