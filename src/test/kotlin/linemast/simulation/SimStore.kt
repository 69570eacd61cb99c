package linemast.simulation

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import linemast.serialization.Cbor
import linemast.serialization.JsonSize
import linemast.store.CommitResult
import linemast.store.Entry
import linemast.store.EntryPage
import linemast.store.KeyChange
import linemast.store.KeyValueStore
import linemast.store.Precondition
import linemast.store.RequestPriority
import linemast.store.StoreException
import linemast.store.WatchResult
import linemast.store.Write
import linemast.time.Clock
import kotlin.random.Random

/** Simulated key-value store with leases, revisions and injected faults. */
class SimStore(
    private val scope: CoroutineScope,
    private val clock: Clock,
    private val random: Random,
    /** Suspends while the controller with the given name is paused. */
    private val awaitResume: suspend (String) -> Unit = {},
) {
    private class StoredValue(val value: ByteArray, val revision: Long, val lease: Long?)

    private class Lease(val ttlMicros: Long, var expiresMicros: Long)

    private val entries = sortedMapOf<String, StoredValue>()
    private val leases = HashMap<Long, Lease>()
    private val changes = ArrayList<KeyChange>()
    var revision = 1L
        private set

    /** Called with each transaction that a call has applied, before the response is sent; not for late transactions and duplicates. */
    var onApplied: (node: String, writes: List<Write>) -> Unit = { _, _ -> }

    /** Every change that was applied, in order. */
    val history: List<KeyChange> get() = changes
    private var lastLease = 0L

    /** Whether the store refuses all calls. */
    var outage = false
        private set

    /** Names of the controllers whose calls the store refuses. */
    val refusedControllers = HashSet<String>()

    /** Names of the controllers whose open watches get no response; their other calls do. */
    val controllersWithHangingWatches = HashSet<String>()

    /** Probability that a transaction gets no response; it is applied at once or up to half a minute later. */
    var lostResponseProbability = 0.0

    /** Longest latency of a call. */
    var maxLatencyMillis = 12L

    /** Probability that a duplicate of a transaction arrives up to a minute after the transaction was applied. */
    var delayedDuplicateProbability = 0.0

    /** Largest size of a value in bytes of JSON; a transaction over a limit gets status 400 and is listed in [oversizedTransactions]. */
    var maxValueBytes = 8 * 1024

    /** Most operations in a transaction. */
    var maxTransactionOperations = 16

    /** Descriptions of the transactions that exceeded a limit. */
    val oversizedTransactions = ArrayList<String>()

    /** Rejects a transaction that exceeds a limit. */
    private fun requireWithinLimits(writes: List<Write>) {
        val oversizedKeys = writes.filter { it is Write.Put && JsonSize.of(it.value) > maxValueBytes }.map { it.key }
        val bytes = writes.sumOf { it.key.length + if (it is Write.Put) JsonSize.of(it.value) else 0 }
        if (oversizedKeys.isEmpty() && writes.size <= maxTransactionOperations && bytes <= MAX_TRANSACTION_BYTES) return
        oversizedTransactions += "$oversizedKeys, ${writes.size} operations, $bytes bytes"
        throw StoreException.ErrorStatus(400)
    }

    /** Makes the store refuse all calls; leases do not expire until [endOutage]. */
    fun startOutage() {
        outage = true
    }

    /** Ends the outage and renews every lease for its full duration. */
    fun endOutage() {
        outage = false
        leases.values.forEach { it.expiresMicros = clock.nowMicros() + it.ttlMicros }
    }

    /** Deletes [key] as if it had never been written: no watch reports the deletion. */
    fun deleteSilently(key: String) {
        entries.remove(key)
    }

    /** Replaces all entries by [values], which are CBOR by key; no watch reports the changes. */
    fun replaceContents(values: Map<String, ByteArray>) {
        entries.clear()
        revision++
        for ((key, value) in values) entries[key] = StoredValue(value, revision, lease = null)
    }

    /** Returns the decoded value of [key], or null if the store has no such key. */
    fun valueOf(key: String) = entries[key]?.let { Cbor.decodeMap(it.value) }

    fun keysUnder(prefix: String): Set<String> = entries.keys.filterTo(LinkedHashSet()) { it.startsWith(prefix) }

    /** Returns the client through which the controller named [node] calls the store. */
    fun clientOf(node: String): KeyValueStore = Client(node)

    /** Removes the leases that have expired, and their keys. */
    private fun expireLeases() {
        if (outage) return
        val expired = leases.filterValues { it.expiresMicros <= clock.nowMicros() }.keys
        for (lease in expired) {
            leases.remove(lease)
            val keys = entries.filterValues { it.lease == lease }.keys.toList()
            if (keys.isEmpty()) continue
            revision++
            keys.forEach(::delete)
        }
    }

    private fun delete(key: String) {
        if (entries.remove(key) != null) changes += KeyChange(key, null, revision)
    }

    private fun apply(preconditions: List<Precondition>, writes: List<Write>): CommitResult {
        expireLeases()
        if (writes.any { it is Write.Put && it.lease != null && it.lease !in leases }) return CommitResult.NoSuchLease
        val failed = preconditions.filter { (entries[it.key]?.revision ?: 0L) != it.revision }.map { it.key }
        if (failed.isNotEmpty()) return CommitResult.Conflict(failed)
        revision++
        for (write in writes) {
            when (write) {
                is Write.Delete -> delete(write.key)
                is Write.Put -> {
                    val bytes = Cbor.encode(write.value)
                    entries[write.key] = StoredValue(bytes, revision, write.lease)
                    changes += KeyChange(write.key, Cbor.decodeMap(bytes), revision)
                }
            }
        }
        return CommitResult.Applied(revision)
    }

    private inner class Client(private val node: String) : KeyValueStore {
        /** Suspends while the controller is paused and for the latency of the call, then refuses the call if the store is not available. */
        private suspend fun beginCall() {
            awaitResume(node)
            delay(random.nextLong(1, maxLatencyMillis))
            if (outage || node in refusedControllers) throw StoreException.ErrorStatus(503)
            expireLeases()
        }

        override suspend fun get(key: String, priority: RequestPriority): Entry? {
            beginCall()
            return entries[key]?.let { Entry(key, Cbor.decodeMap(it.value), it.revision) }
        }

        override suspend fun list(prefix: String, after: String?): EntryPage {
            beginCall()
            val found = entries.filterKeys { it.startsWith(prefix) && (after == null || it > after) }
            val entries = found.entries.take(PAGE_SIZE).map { Entry(it.key, Cbor.decodeMap(it.value.value), it.value.revision) }
            return EntryPage(entries, found.size > PAGE_SIZE, revision)
        }

        override suspend fun commit(preconditions: List<Precondition>, writes: List<Write>, priority: RequestPriority): CommitResult {
            beginCall()
            requireWithinLimits(writes)
            if (random.nextDouble() < lostResponseProbability) {
                // The transaction is applied now or up to half a minute later; the caller gets no response either way.
                val delayMillis = if (random.nextBoolean()) 0L else random.nextLong(30_000)
                scope.launch {
                    delay(delayMillis)
                    apply(preconditions, writes)
                }
                delay(2_000)
                throw StoreException.NoResponse("no response")
            }
            val result = apply(preconditions, writes)
            if (result is CommitResult.Applied) onApplied(node, writes)
            if (random.nextDouble() < delayedDuplicateProbability) {
                scope.launch {
                    delay(random.nextLong(60_000))
                    if (!outage) apply(preconditions, writes)
                }
            }
            delay(random.nextLong(1, 8))
            return result
        }

        override suspend fun watch(prefix: String, afterRevision: Long, waitMicros: Long): WatchResult {
            beginCall()
            val end = clock.nowMicros() + waitMicros
            while (true) {
                if (clock.nowMicros() > end + WATCH_TIMEOUT_MARGIN_MICROS) throw StoreException.NoResponse("no response")
                expireLeases()
                val matching = changes.filter { it.revision > afterRevision && it.key.startsWith(prefix) }
                if (!outage &&
                    node !in refusedControllers &&
                    node !in controllersWithHangingWatches &&
                    (matching.isNotEmpty() || clock.nowMicros() >= end)
                ) {
                    return WatchResult.Changes(revision, matching)
                }
                delay(WATCH_POLL_MILLIS)
            }
        }

        override suspend fun grantLease(ttlMicros: Long): Long {
            beginCall()
            leases[++lastLease] = Lease(ttlMicros, clock.nowMicros() + ttlMicros)
            return lastLease
        }

        override suspend fun revokeLease(lease: Long) {
            beginCall()
            leases[lease]?.expiresMicros = clock.nowMicros()
            expireLeases()
        }

        override suspend fun renewLease(lease: Long): Boolean {
            beginCall()
            val granted = leases[lease] ?: return false
            granted.expiresMicros = clock.nowMicros() + granted.ttlMicros
            return true
        }
    }

    private companion object {
        const val MAX_TRANSACTION_BYTES = 64 * 1024
        const val PAGE_SIZE = 7
        const val WATCH_POLL_MILLIS = 25L
        const val WATCH_TIMEOUT_MARGIN_MICROS = 5_000_000L
    }
}
