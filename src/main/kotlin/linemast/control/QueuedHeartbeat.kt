package linemast.control

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.Job
import kotlinx.coroutines.withTimeoutOrNull
import linemast.domain.Heartbeat

/**
 * A heartbeat in the event queue of a leader.
 *
 * Its connection waits for the response, but not longer than the worker does, nor longer than the leader's term, whose job is
 * [termJob]: the actions that are left in the queue are not executed then.
 */
internal class QueuedHeartbeat(heartbeat: Heartbeat, termJob: Job) {
    private val response = CompletableDeferred<HeartbeatResponse?>(termJob)
    private var unhandled: Heartbeat? = heartbeat

    /** Completes the response with the result of [respond], unless the heartbeat was dropped. */
    fun handle(respond: (Heartbeat) -> HeartbeatResponse?) {
        val heartbeat = unhandled ?: return
        response.complete(respond(heartbeat))
    }

    /** Returns the response, or null if there is none, if the term ends, or if the worker waits no longer. */
    suspend fun awaitResponse(): HeartbeatResponse? {
        try {
            withTimeoutOrNull(WORKER_TIMEOUT_MILLIS) { response.join() }
        } finally {
            drop()
        }
        return if (response.isCancelled) null else response.await()
    }

    /** Frees the heartbeat, which may list many tasks and may stay in the queue for long. */
    fun drop() {
        unhandled = null
        response.cancel()
    }

    private companion object {
        /** How long a worker waits for a response before it closes the connection and sends a heartbeat to another controller. */
        const val WORKER_TIMEOUT_MILLIS = 4_000L
    }
}
