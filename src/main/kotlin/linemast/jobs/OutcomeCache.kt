package linemast.jobs

import linemast.domain.OutcomeRecord
import linemast.time.Clock

/**
 * A bounded cache of job outcomes that evicts the least recently used ones.
 *
 * Terminal outcomes never change and are cached without a time limit; open outcomes are used up to the age of [maxAgeMicros].
 */
internal class OutcomeCache(private val clock: Clock, private val maxAgeMicros: Long) {
    /** An open outcome that a call sent at [sentMicros] has read or committed. */
    private class OpenOutcome(val record: OutcomeRecord, val sentMicros: Long)

    private val terminalOutcomes = boundedMap<OutcomeRecord>(MAX_TERMINAL_OUTCOMES)
    private val openOutcomes = boundedMap<OpenOutcome>(MAX_OPEN_OUTCOMES)

    /** Returns the outcome of the job with [id] if it is cached and terminal. */
    fun terminal(id: String): OutcomeRecord? = terminalOutcomes[id]

    /** Returns the outcome of the job with [id] if it is cached and either terminal or not older than [maxAgeMicros]. */
    fun recent(id: String): OutcomeRecord? {
        terminalOutcomes[id]?.let { return it }
        val open = openOutcomes[id] ?: return null
        return open.record.takeIf { clock.nowMicros() - open.sentMicros <= maxAgeMicros }
    }

    /** Caches [record], which a call sent at [sentMicros] has read or committed; the cached result of a later call is kept. */
    fun put(id: String, record: OutcomeRecord, sentMicros: Long) {
        if (record.outcome.isTerminal) {
            terminalOutcomes[id] = record
            openOutcomes.remove(id)
            return
        }
        if (id in terminalOutcomes) return
        val cached = openOutcomes[id]
        if (cached == null || cached.sentMicros < sentMicros) openOutcomes[id] = OpenOutcome(record, sentMicros)
    }

    private fun <T> boundedMap(limit: Int) = object : LinkedHashMap<String, T>(INITIAL_CAPACITY, LOAD_FACTOR, true) {
        override fun removeEldestEntry(eldest: Map.Entry<String, T>) = size > limit
    }

    private companion object {
        const val MAX_TERMINAL_OUTCOMES = 5_000
        const val MAX_OPEN_OUTCOMES = 20_000
        const val INITIAL_CAPACITY = 16
        const val LOAD_FACTOR = 0.75f
    }
}
