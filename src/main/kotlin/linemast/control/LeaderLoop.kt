package linemast.control

import kotlinx.coroutines.channels.Channel

/** The event loop that owns a leader's state: jobs, machines and the dependency graph are read and changed in its turns alone. */
internal fun interface LeaderLoop {
    /** Queues [action] behind the actions that wait already; suspends while the queue is full, and returns before [action] runs. */
    suspend fun run(action: () -> Unit)
}

/** A [LeaderLoop] with a bounded queue, whose actions run one after the other in [process]. */
internal class LeaderEventQueue(capacity: Int) : LeaderLoop {
    private val actions = Channel<() -> Unit>(capacity)

    override suspend fun run(action: () -> Unit) = actions.send(action)

    /** Queues [action] if there is room; false if there is none. */
    fun tryRun(action: () -> Unit): Boolean = actions.trySend(action).isSuccess

    /** Runs the queued actions in their order until it is cancelled. */
    suspend fun process() {
        for (action in actions) action()
    }
}
