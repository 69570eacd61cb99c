package linemast.admission

/** What one controller has seen of a flow, as rates a second. */
data class FlowDemand(
    /** New jobs that were submitted, each counted once however often its user asks. */
    val offered: Double,
    /** Jobs that were taken. */
    val accepted: Double,
    /** Jobs that were told to come later and have not been taken since. */
    val waiting: Int,
)

/**
 * Counts the submissions that reach one controller; pure.
 *
 * Ids are remembered for as long as users go on asking, the oldest forgotten first when they are too many.
 */
class DemandMeter {
    private class Seen(val flow: Flow, val firstMicros: Long) {
        var acceptedMicros = 0L
    }

    private val seen = LinkedHashMap<String, Seen>()

    /** A submission of [id] that is not known to have been accepted before has come. */
    fun recordOffered(flow: Flow, id: String, nowMicros: Long) {
        forget(nowMicros)
        seen.getOrPut(id) { Seen(flow, nowMicros) }
    }

    /** The submission of [id] has been accepted. */
    fun recordAccepted(id: String, nowMicros: Long) {
        seen[id]?.let { if (it.acceptedMicros == 0L) it.acceptedMicros = nowMicros }
    }

    /** What the flows have seen lately. */
    fun demands(nowMicros: Long): Map<Flow, FlowDemand> {
        forget(nowMicros)
        val since = nowMicros - RATE_MICROS
        return seen.values.groupBy { it.flow }.mapValues { (_, ids) ->
            FlowDemand(
                offered = ids.count { it.firstMicros > since } / RATE_SECONDS,
                accepted = ids.count { it.acceptedMicros > since } / RATE_SECONDS,
                waiting = ids.count { it.acceptedMicros == 0L },
            )
        }
    }

    private fun forget(nowMicros: Long) {
        val ids = seen.values.iterator()
        while (ids.hasNext()) {
            val first = ids.next()
            if (seen.size <= MAX_IDS && first.firstMicros > nowMicros - PATIENCE_MICROS) return
            ids.remove()
        }
    }

    private companion object {
        /** Over so long rates are taken. */
        const val RATE_SECONDS = 5.0
        const val RATE_MICROS = 5_000_000L

        /** Users ask for so long at most. */
        const val PATIENCE_MICROS = 60_000_000L
        const val MAX_IDS = 20_000
    }
}
