package linemast.admission

import linemast.time.SECOND_MICROS

/**
 * Counts the submissions that reach one controller. Callers pass the current time.
 *
 * A job id is kept for as long as its user may retry the submission. If there are too many ids, the oldest are evicted first.
 */
class DemandMeter {
    private class Submission(val flow: Flow, val firstMicros: Long) {
        var acceptedMicros = NOT_ACCEPTED
    }

    /** Submissions by job id, the oldest first. */
    private val submissions = LinkedHashMap<String, Submission>()

    /** Records a submission of job [id] that is not known as already accepted. */
    fun recordOffered(flow: Flow, id: String, nowMicros: Long) {
        evictOld(nowMicros)
        submissions.getOrPut(id) { Submission(flow, nowMicros) }
    }

    /** Records that the submission of job [id] was accepted. */
    fun recordAccepted(id: String, nowMicros: Long) {
        val submission = submissions[id] ?: return
        if (submission.acceptedMicros == NOT_ACCEPTED) submission.acceptedMicros = nowMicros
    }

    /** Returns the recent demand of each flow. */
    fun demands(nowMicros: Long): Map<Flow, FlowDemand> {
        evictOld(nowMicros)
        val since = nowMicros - RATE_WINDOW_SECONDS * SECOND_MICROS
        return submissions.values.groupBy { it.flow }.mapValues { (_, ofFlow) ->
            FlowDemand(
                offeredRate = ofFlow.count { it.firstMicros > since } / RATE_WINDOW_SECONDS.toDouble(),
                acceptedRate = ofFlow.count { it.acceptedMicros > since } / RATE_WINDOW_SECONDS.toDouble(),
                deferredJobs = ofFlow.count { it.acceptedMicros == NOT_ACCEPTED },
            )
        }
    }

    private fun evictOld(nowMicros: Long) {
        val oldestFirst = submissions.values.iterator()
        while (oldestFirst.hasNext()) {
            val oldest = oldestFirst.next()
            if (submissions.size <= MAX_IDS && oldest.firstMicros > nowMicros - RETRY_WINDOW_MICROS) return
            oldestFirst.remove()
        }
    }

    private companion object {
        /** Time over which rates are averaged. */
        const val RATE_WINDOW_SECONDS = 5L

        /** Maximum time for which users retry a submission. */
        const val RETRY_WINDOW_MICROS = 60 * SECOND_MICROS
        const val MAX_IDS = 20_000
        const val NOT_ACCEPTED = 0L
    }
}
