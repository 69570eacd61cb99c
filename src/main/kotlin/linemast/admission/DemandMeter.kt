package linemast.admission

import linemast.time.SECOND_MICROS

/**
 * Counts the submissions that reach one controller; it has no clock of its own.
 *
 * Ids are remembered for as long as users go on asking, the oldest forgotten first when there are too many.
 */
class DemandMeter {
    private class Submission(val flow: Flow, val firstMicros: Long) {
        var acceptedMicros = NOT_ACCEPTED
    }

    /** By job id, the oldest first. */
    private val submissions = LinkedHashMap<String, Submission>()

    /** A submission of job [id] that is not known to have been accepted before has come. */
    fun recordOffered(flow: Flow, id: String, nowMicros: Long) {
        evictOld(nowMicros)
        submissions.getOrPut(id) { Submission(flow, nowMicros) }
    }

    /** The submission of job [id] has been accepted. */
    fun recordAccepted(id: String, nowMicros: Long) {
        val submission = submissions[id] ?: return
        if (submission.acceptedMicros == NOT_ACCEPTED) submission.acceptedMicros = nowMicros
    }

    /** The recent demand of each flow. */
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
        /** Rates are averages over this time. */
        const val RATE_WINDOW_SECONDS = 5L

        /** Users repeat a submission for this long at most. */
        const val RETRY_WINDOW_MICROS = 60 * SECOND_MICROS
        const val MAX_IDS = 20_000
        const val NOT_ACCEPTED = 0L
    }
}
