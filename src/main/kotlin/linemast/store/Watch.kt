package linemast.store

import linemast.serialization.Fields

/** A change of the watched [key] at [revision]; [value] is null if the key was deleted. */
class KeyChange(val key: String, val value: Fields?, val revision: Long)

/** Result of a watch. */
sealed interface WatchResult {
    /** All [changes] up to [revision], in the order of their revisions; the list may be empty. */
    class Changes(val revision: Long, val changes: List<KeyChange>) : WatchResult

    /** The store no longer has all changes since the requested revision, so the entries must be read again. */
    data object TooOld : WatchResult
}
