package linemast.simulation

import linemast.store.CommitResult
import linemast.store.Condition
import linemast.store.Page
import linemast.store.Priority
import linemast.store.Store
import linemast.store.WatchResult
import linemast.store.Write

/**
 * What a controller of the version before pipelines sees of the store and leaves in it.
 *
 * It drops fields that it does not know when it rewrites a record.
 */
internal class PreviousVersionStore(private val store: Store) : Store by store {
    override suspend fun list(under: String, after: String?): Page =
        if (under.startsWith(WAITING)) Page(emptyList(), false, store.list(under, after).revision) else store.list(under, after)

    override suspend fun watch(under: String, afterRevision: Long, waitMicros: Long): WatchResult {
        val result = store.watch(under, afterRevision, waitMicros)
        return if (result is WatchResult.Changes && under.startsWith(WAITING)) WatchResult.Changes(result.revision, emptyList()) else result
    }

    override suspend fun commit(conditions: List<Condition>, writes: List<Write>, priority: Priority): CommitResult {
        check(writes.none { it.key.startsWith(WAITING) }) { "a key that the version before does not know" }
        return store.commit(conditions, writes.map { if (it is Write.Put) Write.Put(it.key, known(it.value), it.lease) else it }, priority)
    }

    private fun known(value: Map<String, Any?>): Map<String, Any?> = (value - setOf("awaits", "from_us")).mapValues { (name, part) ->
        @Suppress("UNCHECKED_CAST")
        if (name == "job") (part as Map<String, Any?>) - "awaits" else part
    }

    private companion object {
        const val WAITING = "w/"
    }
}
