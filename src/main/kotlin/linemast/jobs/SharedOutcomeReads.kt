package linemast.jobs

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import linemast.domain.OutcomeRecord

/**
 * Shares concurrent reads of the same job's outcome.
 *
 * At most one read per job is in flight, and all callers that arrive after its start share the next read. The reads run in
 * [scope], so that a read continues when its callers are cancelled.
 */
internal class SharedOutcomeReads(private val scope: CoroutineScope, private val readOutcome: suspend (String) -> OutcomeRecord?) {
    /** A read in flight; [next] is the result of the read after it, for callers that arrive while this read is in flight. */
    private class PendingRead {
        var next: CompletableDeferred<Result<OutcomeRecord?>>? = null
    }

    private val pendingReads = HashMap<String, PendingRead>()

    /** Returns the result of a read that begins after this call. Throws [linemast.store.StoreException] if the read fails. */
    suspend fun read(id: String): OutcomeRecord? {
        val running = pendingReads[id]
        val result = if (running == null) startReads(id) else nextResult(running)
        return result.await().getOrThrow()
    }

    private fun startReads(id: String): CompletableDeferred<Result<OutcomeRecord?>> {
        val first = CompletableDeferred<Result<OutcomeRecord?>>()
        pendingReads[id] = PendingRead()
        scope.launch { readUntilIdle(id, first) }
        return first
    }

    private fun nextResult(running: PendingRead): CompletableDeferred<Result<OutcomeRecord?>> =
        running.next ?: CompletableDeferred<Result<OutcomeRecord?>>().also { running.next = it }

    /** Repeats the read until no caller waits for a further one. */
    private suspend fun readUntilIdle(id: String, first: CompletableDeferred<Result<OutcomeRecord?>>) {
        var waiting = first
        while (true) {
            waiting.complete(sharedStoreResult { readOutcome(id) })
            val next = pendingReads[id]?.next
            if (next == null) {
                pendingReads.remove(id)
                return
            }
            pendingReads[id] = PendingRead()
            waiting = next
        }
    }
}
