package linemast.control

import kotlinx.coroutines.channels.Channel

/** The event loop that owns a leader's state: jobs, machines and the dependency graph are read and changed in its turns alone. */
internal fun interface LeaderEventLoop {
    /** Queues [action] behind the actions that wait already; suspends while the queue is full, and returns before [action] runs. */
    suspend fun enqueue(action: () -> Unit)
}

/** A [LeaderEventLoop] with a bounded queue, whose actions run one after the other in [process]. */
internal class LeaderEventQueue(capacity: Int) : LeaderEventLoop {
    private val actions = Channel<() -> Unit>(capacity)

    override suspend fun enqueue(action: () -> Unit) = actions.send(action)

    /** Queues [action] if there is room; false if there is none. */
    fun tryEnqueue(action: () -> Unit): Boolean = actions.trySend(action).isSuccess

    /** Runs the queued actions in their order until it is cancelled. */
    suspend fun process() {
        for (action in actions) action()
    }
}
