package linemast.store

import linemast.serialization.Fields

/** A [key] in the store with its [value] and the [revision] of its latest change. */
class Entry(val key: String, val value: Fields, val revision: Long)

/**
 * One page of the [entries] whose keys have a prefix, in key order, as of [revision].
 *
 * @property truncated whether the store holds more entries after the last one.
 */
class EntryPage(val entries: List<Entry>, val truncated: Boolean, val revision: Long)
