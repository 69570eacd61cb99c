package linemast.store

/**
 * The consensus-backed key-value store, as much of it as the controllers use.
 *
 * Its reads are strongly consistent; a transaction is a compare-and-swap on revisions. Every call may fail with a
 * [StoreException].
 */
interface KeyValueStore {
    /** The entry of [key]; null if there is none. */
    suspend fun get(key: String, priority: RequestPriority = RequestPriority.NORMAL): Entry?

    /** A page of the entries whose keys begin with [prefix], in key order; it begins behind the key [after] if one is given. */
    suspend fun list(prefix: String, after: String?): EntryPage

    /** Applies all [writes] in one transaction if all [preconditions] hold, and none of them otherwise. */
    suspend fun commit(
        preconditions: List<Precondition>,
        writes: List<Write>,
        priority: RequestPriority = RequestPriority.NORMAL,
    ): CommitResult

    /** Waits up to [waitMicros] for changes of keys that begin with [prefix], later than [afterRevision]. */
    suspend fun watch(prefix: String, afterRevision: Long, waitMicros: Long): WatchResult

    /** Grants a lease that expires unless it is renewed within [ttlMicros]; returns its id. */
    suspend fun grantLease(ttlMicros: Long): Long

    /** Revokes a lease, and deletes the keys attached to it, at once. */
    suspend fun revokeLease(lease: Long)

    /** Renews a lease for its full time to live; false if it has expired. */
    suspend fun renewLease(lease: Long): Boolean
}

/**
 * All entries whose keys begin with [prefix], read page by page.
 *
 * The revision is the one of the first page: who needs what has changed while the others were read watches from there on.
 */
suspend fun KeyValueStore.listAll(prefix: String): EntryPage {
    val firstPage = list(prefix, null)
    val entries = ArrayList<Entry>()
    var page = firstPage
    while (true) {
        entries += page.entries
        if (!page.truncated || page.entries.isEmpty()) return EntryPage(entries, truncated = false, firstPage.revision)
        page = list(prefix, page.entries.last().key)
    }
}
