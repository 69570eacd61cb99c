package linemast.control

import kotlinx.coroutines.channels.Channel

/** The event loop that owns a leader's state: only its actions read and change jobs, machines and the dependency graph. */
internal fun interface LeaderEventLoop {
    /** Appends [action] to the queue; suspends while the queue is full, but does not wait until [action] has run. */
    suspend fun enqueue(action: () -> Unit)
}

/** A [LeaderEventLoop] with a bounded queue, whose actions [process] runs one after the other. */
internal class LeaderEventQueue(capacity: Int) : LeaderEventLoop {
    private val actions = Channel<() -> Unit>(capacity)

    override suspend fun enqueue(action: () -> Unit) = actions.send(action)

    /** Appends [action] to the queue and returns true, or returns false if the queue is full. */
    fun tryEnqueue(action: () -> Unit): Boolean = actions.trySend(action).isSuccess

    /** Runs the queued actions in their order until the coroutine is cancelled. */
    suspend fun process() {
        for (action in actions) action()
    }
}
