package linemast.jobs

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import linemast.domain.OutcomeRecord
import linemast.store.KeyValueStore
import linemast.time.Clock

/**
 * Reads job outcomes from the store and caches them.
 *
 * [readRecent] also uses cached open outcomes that are at most [maxAgeMicros] old; [readFresh] never uses them.
 */
internal class OutcomeReader(private val store: KeyValueStore, scope: CoroutineScope, private val clock: Clock, maxAgeMicros: Long) {
    private val cache = OutcomeCache(clock, maxAgeMicros)
    private val sharedReads = SharedOutcomeReads(scope, ::readAndCache)
    private val openJobListing = OpenJobListing(store, scope, clock, cache)

    /** Returns the outcome of the job with [id] if it is cached and terminal. */
    fun cachedTerminal(id: String): OutcomeRecord? = cache.terminal(id)

    /** Whether [readRecent] can return the outcome of [id] without a read from the store. */
    fun hasRecent(id: String): Boolean = cache.recent(id) != null

    /** Caches [record], which a call sent at [sentMicros] has read or committed, and returns it. */
    fun cacheOutcome(id: String, record: OutcomeRecord, sentMicros: Long = clock.nowMicros()): OutcomeRecord {
        cache.put(id, record, sentMicros)
        return record
    }

    /** Returns a cached terminal outcome, or else the result of a read that begins after this call; null if the job was never accepted. */
    suspend fun readFresh(id: String): OutcomeRecord? = cache.terminal(id) ?: sharedReads.read(id)

    /** Returns the outcomes of [ids]. Open outcomes are at most [maxAgeMicros] old; jobs that were never accepted are absent. */
    suspend fun readRecent(ids: Collection<String>): Map<String, OutcomeRecord> = coroutineScope {
        val reads = ids.map { id -> async { id to (cache.recent(id) ?: readFresh(id)) } }
        val records = LinkedHashMap<String, OutcomeRecord>()
        for ((id, record) in reads.awaitAll()) if (record != null) records[id] = record
        records
    }

    /** Caches the outcomes of all open jobs. */
    suspend fun cacheOpenJobs() = openJobListing.run()

    /** Reads an outcome and caches it. The callers do not cache the result, because they may be cancelled before the read ends. */
    private suspend fun readAndCache(id: String): OutcomeRecord? {
        val sentMicros = clock.nowMicros()
        val stored = readStoredRecord { store.readOutcome(id) } ?: return null
        return cacheOutcome(id, stored.record, sentMicros)
    }
}
