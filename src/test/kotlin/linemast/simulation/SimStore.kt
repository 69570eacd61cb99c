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

/** Stand-in of the state service, with its leases, revisions and ways to fail. */
class SimStore(
    private val scope: CoroutineScope,
    private val clock: Clock,
    private val random: Random,
    /** Waits while a controller stands still. */
    private val awaitResume: suspend (String) -> Unit = {},
) {
    private class StoredValue(val value: ByteArray, val revision: Long, val lease: Long?)

    private class Lease(val ttlMicros: Long, var expiresMicros: Long)

    private val entries = sortedMapOf<String, StoredValue>()
    private val leases = HashMap<Long, Lease>()
    private val changes = ArrayList<KeyChange>()
    var revision = 1L
        private set

    /** Told of each transaction that a controller's own call has carried out, before the answer leaves. */
    var onApplied: (node: String, writes: List<Write>) -> Unit = { _, _ -> }

    /** Every change that was carried out, in its order. */
    val history: List<KeyChange> get() = changes
    private var lastLease = 0L
    var outage = false
        private set
    val refusedControllers = HashSet<String>()

    /** Controllers whose open watches get no answer, while all else is answered. */
    val controllersWithHangingWatches = HashSet<String>()
    var lostResponseProbability = 0.0

    /** Most that a call takes. */
    var maxLatencyMillis = 12L

    /** Share of transactions that were carried out and arrive a second time later. */
    var delayedDuplicateProbability = 0.0

    /** What values and transactions may be at most; a larger one gets 400, and is noted. */
    var maxValueBytes = 8 * 1024
    var maxTransactionOperations = 16
    val oversizedTransactions = ArrayList<String>()

    private fun requireWithinLimits(writes: List<Write>) {
        val oversizedKeys = writes.filter { it is Write.Put && JsonSize.of(it.value) > maxValueBytes }.map { it.key }
        val bytes = writes.sumOf { it.key.length + if (it is Write.Put) JsonSize.of(it.value) else 0 }
        if (oversizedKeys.isEmpty() && writes.size <= maxTransactionOperations && bytes <= MAX_TRANSACTION_BYTES) return
        oversizedTransactions += "$oversizedKeys, ${writes.size} operations, $bytes bytes"
        throw StoreException.ErrorStatus(400)
    }

    fun startOutage() {
        outage = true
    }

    /** After an outage every lease again has its full time. */
    fun endOutage() {
        outage = false
        leases.values.forEach { it.expiresMicros = clock.nowMicros() + it.ttlMicros }
    }

    /** Loses [key], as if it had never been written; nobody is told. */
    fun deleteSilently(key: String) {
        entries.remove(key)
    }

    /** Replaces all that is stored by [values], CBOR by key. */
    fun replaceContents(values: Map<String, ByteArray>) {
        entries.clear()
        revision++
        for ((key, value) in values) entries[key] = StoredValue(value, revision, lease = null)
    }

    fun valueOf(key: String) = entries[key]?.let { Cbor.decodeMap(it.value) }

    fun keysUnder(prefix: String): Set<String> = entries.keys.filterTo(LinkedHashSet()) { it.startsWith(prefix) }

    fun clientOf(node: String): KeyValueStore = Client(node)

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
                // Executed now or up to half a minute later; the caller never learns.
                val delayMillis = if (random.nextBoolean()) 0L else random.nextLong(30_000)
                scope.launch {
                    delay(delayMillis)
                    apply(preconditions, writes)
                }
                delay(2_000)
                throw StoreException.NoResponse("no answer")
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
                if (clock.nowMicros() > end + WATCH_TIMEOUT_MARGIN_MICROS) throw StoreException.NoResponse("no answer")
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
