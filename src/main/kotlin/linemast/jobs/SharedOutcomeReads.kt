package linemast.jobs

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import linemast.domain.OutcomeRecord

/**
 * Shares concurrent reads of one job's outcome: at most one is in flight, and all callers that came after its start share
 * the next one. The reads run in [scope], so that one goes on when its callers leave.
 */
internal class SharedOutcomeReads(private val scope: CoroutineScope, private val readOutcome: suspend (String) -> OutcomeRecord?) {
    /** A read in flight, and the result that callers who came after its start wait for. */
    private class PendingRead {
        var next: CompletableDeferred<Result<OutcomeRecord?>>? = null
    }

    private val pendingReads = HashMap<String, PendingRead>()

    /** The result of a read that began after this call. Throws [linemast.store.StoreException] if it gave none. */
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

    /** Reads until nobody waits for a later read. */
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
