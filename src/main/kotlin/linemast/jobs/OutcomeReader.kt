package linemast.jobs

import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.launch
import linemast.domain.JobOutcome
import linemast.domain.OutcomeRecord
import linemast.serialization.MalformedException
import linemast.store.KeyValueStore
import linemast.store.StoreException
import linemast.store.listAll
import linemast.time.Clock
import org.slf4j.LoggerFactory

/**
 * Reads verdict records from the store and caches what may be cached.
 *
 * Final verdicts never change and are cached without a time limit. Open verdicts may be up to [maxAgeMicros] old where the
 * caller accepts that ([recent]); [fresh] never uses them. Concurrent reads of one key are shared.
 */
internal class OutcomeReader(
    private val store: KeyValueStore,
    private val scope: CoroutineScope,
    private val clock: Clock,
    private val maxAgeMicros: Long,
) {
    private val log = LoggerFactory.getLogger(OutcomeReader::class.java)

    /** An open verdict as a read found it that was sent at [sentMicros]. */
    private class OpenOutcome(val record: OutcomeRecord, val sentMicros: Long)

    /** A read in flight, and the result that callers who came after its start wait for. */
    private class PendingRead {
        var next: CompletableDeferred<Result<OutcomeRecord?>>? = null
    }

    private val terminalOutcomes = boundedMap<OutcomeRecord>(MAX_FINALS)
    private val openOutcomes = boundedMap<OpenOutcome>(MAX_OPENS)
    private val pendingReads = HashMap<String, PendingRead>()
    private var pendingListing: CompletableDeferred<Result<Unit>>? = null

    /** The verdict of [id] if it is known to be final. */
    fun final(id: String): OutcomeRecord? = terminalOutcomes[id]

    /** Whether [recent] would answer for [id] without a read. */
    fun hasRecent(id: String): Boolean = cached(id) != null

    /** Caches [record], which was read or committed by a call sent at [sentMicros]. */
    fun remember(id: String, record: OutcomeRecord, sentMicros: Long = clock.nowMicros()): OutcomeRecord {
        if (record.outcome.isTerminal) {
            terminalOutcomes[id] = record
            openOutcomes.remove(id)
        } else if (id !in terminalOutcomes && (openOutcomes[id]?.sentMicros ?: Long.MIN_VALUE) < sentMicros) {
            openOutcomes[id] = OpenOutcome(record, sentMicros)
        }
        return record
    }

    /** The verdict by a read that began after this call; null if the job was never accepted. */
    suspend fun fresh(id: String): OutcomeRecord? {
        terminalOutcomes[id]?.let { return it }
        val running = pendingReads[id]
        val result = if (running == null) {
            val first = CompletableDeferred<Result<OutcomeRecord?>>()
            pendingReads[id] = PendingRead()
            scope.launch { readInTurn(id, first) }
            first
        } else {
            running.next ?: CompletableDeferred<Result<OutcomeRecord?>>().also { running.next = it }
        }
        return result.await().getOrThrow()
    }

    /** The verdicts of [ids], open ones at most [maxAgeMicros] old; jobs that were never accepted are absent. */
    suspend fun recent(ids: Collection<String>): Map<String, OutcomeRecord> = coroutineScope {
        val reads = ids.map { id -> async { id to (cached(id) ?: fresh(id)) } }
        val found = LinkedHashMap<String, OutcomeRecord>()
        for ((id, record) in reads.awaitAll()) if (record != null) found[id] = record
        found
    }

    /**
     * Caches the verdicts of all jobs that are not over, by listing their records: a few calls, however many jobs there are.
     *
     * Waiting jobs are listed before those that may start, so that one that is released in between is found.
     */
    suspend fun listOpen() {
        pendingListing?.let { return it.await().getOrThrow() }
        val listing = CompletableDeferred<Result<Unit>>()
        pendingListing = listing
        scope.launch {
            listing.complete(runListing())
            pendingListing = null
        }
        listing.await().getOrThrow()
    }

    private suspend fun runListing(): Result<Unit> = try {
        val sentMicros = clock.nowMicros()
        for (prefix in listOf(JobKeys.WAITING_PREFIX, JobKeys.OPEN_PREFIX)) {
            for (entry in store.listAll(prefix).entries) {
                val record = decoded { JobRecordCodec.decodeJob(entry.value) }
                val outcome = if (record.cancelled) JobOutcome.CANCELLED else JobOutcome.OPEN
                remember(record.spec.id, OutcomeRecord(outcome, record.spec.taskCount, record.spec.dependencies), sentMicros)
            }
        }
        Result.success(Unit)
    } catch (e: StoreException) {
        Result.failure(e)
    } catch (e: CancellationException) {
        // The controller stops; that must not cancel those who only wait for this listing.
        Result.failure(StoreException.ReadAborted("stopping"))
    }

    private fun cached(id: String): OutcomeRecord? {
        terminalOutcomes[id]?.let { return it }
        val open = openOutcomes[id] ?: return null
        return open.record.takeIf { clock.nowMicros() - open.sentMicros <= maxAgeMicros }
    }

    /** Reads until nobody waits for a later read. The result is cached here, since those who asked may have left. */
    private suspend fun readInTurn(id: String, first: CompletableDeferred<Result<OutcomeRecord?>>) {
        var waiting = first
        while (true) {
            waiting.complete(read(id))
            val next = pendingReads[id]?.next
            if (next == null) {
                pendingReads.remove(id)
                return
            }
            pendingReads[id] = PendingRead()
            waiting = next
        }
    }

    private suspend fun read(id: String): Result<OutcomeRecord?> = try {
        val sentMicros = clock.nowMicros()
        val entry = store.get(JobKeys.outcome(id))
        Result.success(entry?.let { remember(id, decoded { JobRecordCodec.decodeOutcome(it.value) }, sentMicros) })
    } catch (e: StoreException) {
        Result.failure(e)
    } catch (e: CancellationException) {
        // The controller stops; that must not cancel those who only wait for this read.
        Result.failure(StoreException.ReadAborted("stopping"))
    }

    /** A stored record that cannot be read is the store's fault: the user who asks must not be told 400 for it. */
    inline fun <T> decoded(read: () -> T): T = try {
        read()
    } catch (e: MalformedException) {
        logMalformed(e)
        throw StoreException.MalformedRecord()
    }

    fun logMalformed(cause: MalformedException) = log.error("malformed record in the store: {}", cause.message)

    private fun <T> boundedMap(limit: Int) = object : LinkedHashMap<String, T>(INITIAL_CAPACITY, LOAD_FACTOR, true) {
        override fun removeEldestEntry(eldest: Map.Entry<String, T>) = size > limit
    }

    private companion object {
        const val MAX_FINALS = 5_000
        const val MAX_OPENS = 20_000
        const val INITIAL_CAPACITY = 16
        const val LOAD_FACTOR = 0.75f
    }
}
