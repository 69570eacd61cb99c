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
 * Stores the names of the baseline fleet: the on-demand machines that the very first leader found before any scale-out.
 *
 * The names are written once, in chunks that fit a value. The first chunk is written last: its presence marks the list as
 * complete.
 */
internal class BaselineFleetStore(private val term: LeaderTerm, private val cloud: Cloud, private val listLagMicros: Long) {
    private val log = LoggerFactory.getLogger(BaselineFleetStore::class.java)
    private val batches = TransactionBatcher(term.limits.maxTxnOps)
    private val electedMicros = term.clock.nowMicros()

    /**
     * Returns the names in the store; if the store has none, writes those of the cloud's list and returns them.
     *
     * Returns null if the cloud's list is empty and may still lag, or a write failed.
     */
    suspend fun loadOrCreate(): Set<String>? {
        val stored = term.store.listAll(PREFIX).entries
        if (stored.any { it.key == FIRST_CHUNK }) return stored.flatMapTo(LinkedHashSet()) { BaselineFleetCodec.decode(it.value) }
        val foundNames = cloud.listMachines().filter { !it.spot && it.status != STATUS_FAILED }.map { it.name }
        if (foundNames.isEmpty() && mayEmptyListBeStale()) return null
        if (!write(foundNames, stored)) return null
        log.info("baseline fleet: {} machines", foundNames.size)
        return foundNames.toSet()
    }

    /** Whether an empty list may be due to the list's lag; after that time it means that there is no baseline fleet. */
    private fun mayEmptyListBeStale() = term.clock.nowMicros() < electedMicros + LIST_LAGS_UNTIL_EMPTY_IS_TRUSTED * listLagMicros

    /** Writes the chunks, and deletes surplus [stored] chunks of a leader that failed before it had written the first chunk. */
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

        /** Size of a stored chunk without names. */
        const val CHUNK_OVERHEAD_BYTES = 11
        const val LIST_LAGS_UNTIL_EMPTY_IS_TRUSTED = 2
    }
}

/** The stored form of a chunk of names; see docs/glossary.md for the names. */
internal object BaselineFleetCodec {
    private const val NAMES = "rigs"

    /** Returns the stored form of a chunk. */
    fun encode(names: List<String>): Map<String, Any?> = mapOf(NAMES to names)

    /** Returns the names in a stored chunk. */
    fun decode(fields: Fields): List<String> = fields.textsOrNull(NAMES) ?: emptyList()
}
