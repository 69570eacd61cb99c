package linemast.store

import linemast.serialization.Fields

/** A [key] of the store with its [value] and the [revision] of its latest change. */
class Entry(val key: String, val value: Fields, val revision: Long)

/**
 * Some of the [entries] of a prefix, in key order, as of [revision].
 *
 * @property truncated whether the store holds more of them behind the last one.
 */
class EntryPage(val entries: List<Entry>, val truncated: Boolean, val revision: Long)
