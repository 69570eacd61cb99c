package linemast.control

import linemast.cloud.Cloud
import linemast.serialization.Fields
import linemast.serialization.JsonSize
import linemast.store.Entry
import linemast.store.Precondition
import linemast.store.TransactionBatcher
import linemast.store.Write
import linemast.store.listAll
import org.slf4j.LoggerFactory

/**
 * The stored names of the baseline fleet: the on-demand machines that the first leader of all found before any scale-out.
 *
 * They are written once, in chunks that fit a value; the first chunk is written last and marks the list as complete.
 */
internal class BaselineFleetStore(private val term: LeaderTerm, private val cloud: Cloud, private val listLagMicros: Long) {
    private val log = LoggerFactory.getLogger(BaselineFleetStore::class.java)
    private val batches = TransactionBatcher(term.limits.maxTxnOps)
    private val electedMicros = term.clock.nowMicros()

    /** The names from the store, or, if it has none, from the cloud's list and stored; null if they cannot be told yet. */
    suspend fun loadOrCreate(): Set<String>? {
        val stored = term.store.listAll(PREFIX).entries
        if (stored.any { it.key == FIRST_CHUNK }) return stored.flatMapTo(LinkedHashSet()) { BaselineFleetCodec.decode(it.value) }
        val foundNames = cloud.machines().filter { !it.spot && it.status != STATUS_FAILED }.map { it.name }
        if (foundNames.isEmpty() && mayEmptyListBeStale()) return null
        if (!write(foundNames, stored)) return null
        log.info("baseline fleet: {} machines", foundNames.size)
        return foundNames.toSet()
    }

    /** Only a list that stays empty for long enough says that there is no baseline fleet. */
    private fun mayEmptyListBeStale() = term.clock.nowMicros() < electedMicros + LIST_LAGS_UNTIL_EMPTY_IS_TRUSTED * listLagMicros

    /** Chunks that are [stored] without the first one are left from a leader that failed half-way. */
    private suspend fun write(names: List<String>, stored: List<Entry>): Boolean {
        val chunks = names.chunked(chunkSize(names)).ifEmpty { listOf(emptyList()) }
        val puts = chunks.mapIndexed { index, chunk -> Write.Put("$PREFIX$index", BaselineFleetCodec.encode(chunk)) }
        val newKeys = puts.mapTo(HashSet()) { it.key }
        val deletions = stored.map { it.key }.filter { it !in newKeys }.map { Write.Delete(it) }
        val preconditions = listOf(Precondition(FIRST_CHUNK, 0L))
        return batches.pack(deletions + puts.reversed()) { it }.all { term.commit(preconditions, it) is TermCommitResult.Applied }
    }

    private fun chunkSize(names: List<String>): Int {
        val maxNameBytes = names.maxOfOrNull { JsonSize.of(it) + SEPARATOR_BYTES } ?: 1
        return ((term.limits.maxValueBytes - CHUNK_OVERHEAD_BYTES) / maxNameBytes).coerceIn(1, MAX_CHUNK_NAMES)
    }

    private companion object {
        const val PREFIX = "standing/"
        const val FIRST_CHUNK = "standing/0"
        const val STATUS_FAILED = "failed"
        const val MAX_CHUNK_NAMES = 200
        const val SEPARATOR_BYTES = 1

        /** What the stored form of a chunk holds besides the names. */
        const val CHUNK_OVERHEAD_BYTES = 11
        const val LIST_LAGS_UNTIL_EMPTY_IS_TRUSTED = 2
    }
}

/** The stored form of a chunk of names; see docs/glossary.md for the names. */
internal object BaselineFleetCodec {
    private const val NAMES = "rigs"

    /** The stored form of a chunk. */
    fun encode(names: List<String>): Map<String, Any?> = mapOf(NAMES to names)

    /** The names in a stored chunk. */
    fun decode(fields: Fields): List<String> = fields.textsOrNull(NAMES) ?: emptyList()
}
