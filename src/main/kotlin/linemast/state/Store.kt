package linemast.state

import linemast.wire.Fields
import linemast.wire.SECOND_MICROS

/** A key's value with the revision of its latest change. */
class Item(val key: String, val value: Fields, val stamp: Long)

class Page(val items: List<Item>, val truncated: Boolean, val era: Long)

/** A key's version that a transaction depends on; stamp 0: the key does not exist. */
class Condition(val key: String, val stamp: Long)

sealed interface Write {
    val key: String

    class Put(override val key: String, val value: Map<String, Any?>, val hold: Long? = null) : Write

    class Drop(override val key: String) : Write
}

sealed interface CommitResult {
    class Applied(val era: Long) : CommitResult

    class Conflict(val failed: List<String>) : CommitResult

    data object NoSuchHold : CommitResult
}

/** One change seen by a follower; [value] is null for a dropped key. */
class Change(val key: String, val value: Fields?, val stamp: Long)

sealed interface FollowResult {
    class News(val era: Long, val changes: List<Change>) : FollowResult

    /** The revision asked for is too old: read the keys again. */
    data object TooOld : FollowResult
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
    /** What the lead hangs on. */
    VITAL(0.0, 2 * SECOND_MICROS),

    /** Submissions, cancellations, and the start and end of jobs. */
    INTAKE(0.1, 1_500_000),
    ORDINARY(0.3, 1_500_000),

    /** What is as good a little later. */
    BACKGROUND(0.5, 0),
}

/** The state service, as much of it as the controllers use. Tests put a stand-in behind it. */
interface Store {
    suspend fun get(key: String, priority: Priority = Priority.ORDINARY): Item?

    suspend fun list(under: String, after: String?): Page

    suspend fun commit(conditions: List<Condition>, writes: List<Write>, priority: Priority = Priority.ORDINARY): CommitResult

    suspend fun follow(under: String, afterEra: Long, waitMicros: Long): FollowResult

    suspend fun openHold(lifeMicros: Long): Long

    /** Ends a hold, and the keys attached to it, at once. */
    suspend fun endHold(hold: Long)

    /** False when the hold has ended. */
    suspend fun renewHold(hold: Long): Boolean
}

/** Every pair under a prefix, page by page, and the era of the first page: changes since then must be followed. */
suspend fun Store.listAll(under: String): Page {
    val items = ArrayList<Item>()
    var after: String? = null
    var era = -1L
    while (true) {
        val page = list(under, after)
        if (era < 0) era = page.era
        items += page.items
        if (!page.truncated || page.items.isEmpty()) return Page(items, false, era)
        after = page.items.last().key
    }
}
