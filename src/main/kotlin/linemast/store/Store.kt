package linemast.store

import linemast.serialization.Fields
import linemast.time.SECOND_MICROS

/** A key's value with the revision of its latest change. */
class Item(val key: String, val value: Fields, val version: Long)

/** A part of the items under a prefix, as of [revision]. */
class Page(val items: List<Item>, val truncated: Boolean, val revision: Long)

/** A key's version that a transaction depends on; version 0: the key does not exist. */
class Condition(val key: String, val version: Long)

/** A change of one key in a transaction. */
sealed interface Write {
    val key: String

    /** Sets a value, attached to [lease] if one is given. */
    class Put(override val key: String, val value: Map<String, Any?>, val lease: Long? = null) : Write

    /** Deletes a key. */
    class Drop(override val key: String) : Write
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
class Change(val key: String, val value: Fields?, val version: Long)

/** What a watch brought. */
sealed interface WatchResult {
    /** All changes up to [revision], possibly none. */
    class Changes(val revision: Long, val changes: List<Change>) : WatchResult

    /** The revision asked for is too old: read the keys again. */
    data object TooOld : WatchResult
}

/**
 * A call to the state service that gave no result.
 *
 * [mayHaveRun] tells refusals, which surely were not executed, from silence, after which the request may
 * have been executed or may still be.
 */
class StoreException(message: String, val mayHaveRun: Boolean) : Exception(message)

/**
 * How urgently a call needs its token: it leaves [keptShare] of the tokens to more urgent ones, and gives up when
 * it would have to wait for longer than [patienceMicros].
 */
enum class Priority(val keptShare: Double, val patienceMicros: Long) {
    /** What the leadership hangs on. */
    VITAL(0.0, 2 * SECOND_MICROS),

    /** Submissions, cancellations, and the start and end of jobs. */
    INTAKE(0.1, 1_500_000),
    ORDINARY(0.3, 1_500_000),

    /** What is as good a little later. */
    BACKGROUND(0.5, 0),
}

/** The state service, as much of it as the controllers use. Tests put a stand-in behind it. */
interface Store {
    /** The item under [key]; null if there is none. */
    suspend fun get(key: String, priority: Priority = Priority.ORDINARY): Item?

    /** A page of the items whose keys begin with [under], in key order. */
    suspend fun list(under: String, after: String?): Page

    /** Applies [writes] together if all [conditions] hold. */
    suspend fun commit(conditions: List<Condition>, writes: List<Write>, priority: Priority = Priority.ORDINARY): CommitResult

    /** Waits up to [waitMicros] for changes under a prefix after a revision. */
    suspend fun watch(under: String, afterRevision: Long, waitMicros: Long): WatchResult

    /** Opens a lease that ends unless it is renewed within [lifeMicros]. */
    suspend fun openLease(lifeMicros: Long): Long

    /** Ends a lease, and the keys attached to it, at once. */
    suspend fun endLease(lease: Long)

    /** False when the lease has ended. */
    suspend fun renewLease(lease: Long): Boolean
}

/** Every pair under a prefix, page by page, and the revision of the first page: changes since then must be followed. */
suspend fun Store.listAll(under: String): Page {
    val items = ArrayList<Item>()
    var after: String? = null
    var revision = -1L
    while (true) {
        val page = list(under, after)
        if (revision < 0) revision = page.revision
        items += page.items
        if (!page.truncated || page.items.isEmpty()) return Page(items, false, revision)
        after = page.items.last().key
    }
}
