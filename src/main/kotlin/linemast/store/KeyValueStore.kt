package linemast.store

import linemast.serialization.Fields
import linemast.time.SECOND_MICROS

/** A key's value with the revision of its latest change. */
class Entry(val key: String, val value: Fields, val revision: Long)

/** A part of the items under a prefix, as of [revision]. */
class EntryPage(val entries: List<Entry>, val truncated: Boolean, val revision: Long)

/** A key's version that a transaction depends on; version 0: the key does not exist. */
class Precondition(val key: String, val revision: Long)

/** A change of one key in a transaction. */
sealed interface Write {
    val key: String

    /** Sets a value, attached to [lease] if one is given. */
    class Put(override val key: String, val value: Map<String, Any?>, val lease: Long? = null) : Write

    /** Deletes a key. */
    class Delete(override val key: String) : Write
}

/** What became of a transaction. */
sealed interface CommitResult {
    /** It was carried out. */
    class Applied(val revision: Long) : CommitResult

    /** It was not: the keys in [failed] have other versions. */
    class Conflict(val failed: List<String>) : CommitResult

    /** It was not: a lease that a value is attached to has ended. */
    data object NoSuchLease : CommitResult
}

/** One change seen by a follower; [value] is null for a dropped key. */
class KeyChange(val key: String, val value: Fields?, val revision: Long)

/** What a watch brought. */
sealed interface WatchResult {
    /** All changes up to [revision], possibly none. */
    class Changes(val revision: Long, val changes: List<KeyChange>) : WatchResult

    /** The revision asked for is too old: read the keys again. */
    data object TooOld : WatchResult
}

/**
 * How urgently a call needs its token: it leaves [reservedShare] of the tokens to more urgent ones, and gives up when
 * it would have to wait for longer than [queueTimeoutMicros].
 */
enum class RequestPriority(val reservedShare: Double, val queueTimeoutMicros: Long) {
    /** What the leadership hangs on. */
    CRITICAL(0.0, 2 * SECOND_MICROS),

    /** Submissions, cancellations, and the start and end of jobs. */
    HIGH(0.1, 1_500_000),
    NORMAL(0.3, 1_500_000),

    /** What is as good a little later. */
    BACKGROUND(0.5, 0),
}

/** The state service, as much of it as the controllers use. Tests put a stand-in behind it. */
interface KeyValueStore {
    /** The item under [key]; null if there is none. */
    suspend fun get(key: String, priority: RequestPriority = RequestPriority.NORMAL): Entry?

    /** A page of the items whose keys begin with [prefix], in key order. */
    suspend fun list(prefix: String, after: String?): EntryPage

    /** Applies [writes] together if all [preconditions] hold. */
    suspend fun commit(
        preconditions: List<Precondition>,
        writes: List<Write>,
        priority: RequestPriority = RequestPriority.NORMAL,
    ): CommitResult

    /** Waits up to [waitMicros] for changes under a prefix after a revision. */
    suspend fun watch(prefix: String, afterRevision: Long, waitMicros: Long): WatchResult

    /** Opens a lease that ends unless it is renewed within [ttlMicros]. */
    suspend fun grantLease(ttlMicros: Long): Long

    /** Ends a lease, and the keys attached to it, at once. */
    suspend fun revokeLease(lease: Long)

    /** False when the lease has ended. */
    suspend fun renewLease(lease: Long): Boolean
}

/** Every pair under a prefix, page by page, and the revision of the first page: changes since then must be followed. */
suspend fun KeyValueStore.listAll(prefix: String): EntryPage {
    val entries = ArrayList<Entry>()
    var after: String? = null
    var revision = -1L
    while (true) {
        val page = list(prefix, after)
        if (revision < 0) revision = page.revision
        entries += page.entries
        if (!page.truncated || page.entries.isEmpty()) return EntryPage(entries, false, revision)
        after = page.entries.last().key
    }
}
