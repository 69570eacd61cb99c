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
 * Open outcomes may be up to [maxAgeMicros] old where the caller accepts that ([readRecent]); [readFresh] never uses them.
 */
internal class OutcomeReader(private val store: KeyValueStore, scope: CoroutineScope, private val clock: Clock, maxAgeMicros: Long) {
    private val cache = OutcomeCache(clock, maxAgeMicros)
    private val sharedReads = SharedOutcomeReads(scope, ::readAndCache)
    private val openJobListing = OpenJobListing(store, scope, clock, cache)

    /** The outcome of the job with [id] if it is cached and terminal. */
    fun cachedTerminal(id: String): OutcomeRecord? = cache.terminal(id)

    /** Whether [readRecent] would need no read for [id]. */
    fun hasRecent(id: String): Boolean = cache.recent(id) != null

    /** Caches [record], which was read or committed by a call sent at [sentMicros], and returns it. */
    fun cacheOutcome(id: String, record: OutcomeRecord, sentMicros: Long = clock.nowMicros()): OutcomeRecord {
        cache.put(id, record, sentMicros)
        return record
    }

    /** The outcome by a read that began after this call, or a cached terminal one; null if the job was never accepted. */
    suspend fun readFresh(id: String): OutcomeRecord? = cache.terminal(id) ?: sharedReads.read(id)

    /** The outcomes of [ids], open ones not older than allowed; jobs that were never accepted are absent. */
    suspend fun readRecent(ids: Collection<String>): Map<String, OutcomeRecord> = coroutineScope {
        val reads = ids.map { id -> async { id to (cache.recent(id) ?: readFresh(id)) } }
        val records = LinkedHashMap<String, OutcomeRecord>()
        for ((id, record) in reads.awaitAll()) if (record != null) records[id] = record
        records
    }

    /** Caches the outcomes of all open jobs. */
    suspend fun cacheOpenJobs() = openJobListing.run()

    /** The result is cached here and not by the callers, since those may have left. */
    private suspend fun readAndCache(id: String): OutcomeRecord? {
        val sentMicros = clock.nowMicros()
        val stored = readStoredRecord { store.readOutcome(id) } ?: return null
        return cacheOutcome(id, stored.record, sentMicros)
    }
}
