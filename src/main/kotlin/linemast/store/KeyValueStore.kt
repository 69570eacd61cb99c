package linemast.store

/**
 * The operations of the consensus-backed key-value store that the controllers use.
 *
 * Reads are strongly consistent; a transaction is a compare-and-swap on revisions. Every call may fail with a
 * [StoreException].
 */
interface KeyValueStore {
    /** Returns the entry of [key]; null if there is none. */
    suspend fun get(key: String, priority: RequestPriority = RequestPriority.NORMAL): Entry?

    /** Returns a page of the entries whose keys begin with [prefix], in key order; only keys after [after] if it is given. */
    suspend fun list(prefix: String, after: String?): EntryPage

    /** Applies all [writes] in one transaction if all [preconditions] hold, and none of them otherwise. */
    suspend fun commit(
        preconditions: List<Precondition>,
        writes: List<Write>,
        priority: RequestPriority = RequestPriority.NORMAL,
    ): CommitResult

    /** Waits up to [waitMicros] for changes after [afterRevision] of keys that begin with [prefix]. */
    suspend fun watch(prefix: String, afterRevision: Long, waitMicros: Long): WatchResult

    /** Grants a lease that expires unless it is renewed within [ttlMicros]; returns the id of the lease. */
    suspend fun grantLease(ttlMicros: Long): Long

    /** Revokes a lease, which deletes the keys attached to it at once. */
    suspend fun revokeLease(lease: Long)

    /** Renews a lease for its full time to live; returns false if the lease has expired. */
    suspend fun renewLease(lease: Long): Boolean
}

/**
 * Returns all entries whose keys begin with [prefix], read page by page.
 *
 * The revision is that of the first page: a watch after this revision returns all changes that happened while the other
 * pages were read.
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
