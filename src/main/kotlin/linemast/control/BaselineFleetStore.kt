package linemast.control

import linemast.cloud.Cloud
import linemast.leadership.LeaderLease
import linemast.serialization.Cbor
import linemast.store.CommitResult
import linemast.store.Entry
import linemast.store.KeyValueStore
import linemast.store.Precondition
import linemast.store.TransactionBatcher
import linemast.store.Write
import linemast.store.listAll
import linemast.time.Clock
import org.slf4j.LoggerFactory

/**
 * The stored names of the standing fleet: the ordinary machines that the first leader of all found before anything was rented.
 *
 * They are written once, in chunks that fit a value; the first chunk is written last and marks the list as complete.
 */
internal class BaselineFleetStore(
    private val store: KeyValueStore,
    private val cloud: Cloud,
    private val clock: Clock,
    private val leaderLease: LeaderLease,
    private val maxValueBytes: Int,
    maxTransactionWrites: Int,
    private val listLagMicros: Long,
) {
    private val log = LoggerFactory.getLogger(BaselineFleetStore::class.java)
    private val batches = TransactionBatcher(maxTransactionWrites)
    private val electedMicros = clock.nowMicros()

    /** The names as stored, or as found now and stored; null if they cannot be told yet. */
    suspend fun learn(): Set<String>? {
        val stored = store.listAll(PREFIX).entries
        if (stored.any { it.key == FIRST_CHUNK }) return stored.flatMapTo(LinkedHashSet()) { it.value.textsOrNull(NAMES) ?: emptyList() }
        val found = cloud.machines().filter { !it.spot && it.status != FAILED }.map { it.name }
        // The list lags: only one that stays empty for long enough says that there is no standing fleet.
        val mayLag = clock.nowMicros() < electedMicros + LAGS_UNTIL_EMPTY * listLagMicros
        if (found.isEmpty() && mayLag) return null
        if (!write(found, stored)) return null
        log.info("standing fleet: {} machines", found.size)
        return found.toSet()
    }

    /** Chunks that are [stored] without the first one are left from a leader that ended half-way. */
    private suspend fun write(names: List<String>, stored: List<Entry>): Boolean {
        val chunks = names.chunked(chunkSize(names)).ifEmpty { listOf(emptyList()) }
        val puts = chunks.mapIndexed { at, chunk -> Write.Put("$PREFIX$at", mapOf(NAMES to chunk)) }
        val stale = stored.map { it.key }.filter { key -> puts.none { it.key == key } }.map { Write.Delete(it) }
        val preconditions = listOf(leaderLease.fence, Precondition(FIRST_CHUNK, 0L))
        return batches.pack(stale + puts.reversed()) { it }.all { store.commit(preconditions, it) is CommitResult.Applied }
    }

    private fun chunkSize(names: List<String>): Int {
        val longest = names.maxOfOrNull { Cbor.jsonSize(it) + 1 } ?: 1
        return ((maxValueBytes - FRAME_BYTES) / longest).coerceIn(1, MAX_CHUNK)
    }

    private companion object {
        const val PREFIX = "standing/"
        const val FIRST_CHUNK = "standing/0"
        const val NAMES = "rigs"
        const val FAILED = "failed"
        const val MAX_CHUNK = 200
        const val FRAME_BYTES = 11
        const val LAGS_UNTIL_EMPTY = 2
    }
}
