package linemast.simulation

import linemast.store.CommitResult
import linemast.store.EntryPage
import linemast.store.KeyValueStore
import linemast.store.Precondition
import linemast.store.RequestPriority
import linemast.store.WatchResult
import linemast.store.Write

/**
 * The store as a controller of the version before pipelines reads and writes it: that version neither reads nor writes the
 * records of blocked jobs, and it omits fields that it does not know when it rewrites a record.
 */
internal class PreviousVersionStore(private val store: KeyValueStore) : KeyValueStore by store {
    override suspend fun list(prefix: String, after: String?): EntryPage = if (prefix.startsWith(BLOCKED_JOBS_PREFIX)) {
        EntryPage(emptyList(), false, store.list(prefix, after).revision)
    } else {
        store.list(prefix, after)
    }

    override suspend fun watch(prefix: String, afterRevision: Long, waitMicros: Long): WatchResult {
        val result = store.watch(prefix, afterRevision, waitMicros)
        return if (result is WatchResult.Changes &&
            prefix.startsWith(BLOCKED_JOBS_PREFIX)
        ) {
            WatchResult.Changes(result.revision, emptyList())
        } else {
            result
        }
    }

    override suspend fun commit(preconditions: List<Precondition>, writes: List<Write>, priority: RequestPriority): CommitResult {
        check(writes.none { it.key.startsWith(BLOCKED_JOBS_PREFIX) }) { "the previous version writes a record of a blocked job" }
        return store.commit(
            preconditions,
            writes.map {
                if (it is Write.Put) Write.Put(it.key, withoutNewFields(it.value), it.lease) else it
            },
            priority,
        )
    }

    private fun withoutNewFields(value: Map<String, Any?>): Map<String, Any?> =
        (value - setOf("awaits", "from_us")).mapValues { (name, part) ->
            @Suppress("UNCHECKED_CAST")
            if (name == "job") (part as Map<String, Any?>) - "awaits" else part
        }

    private companion object {
        const val BLOCKED_JOBS_PREFIX = "w/"
    }
}
