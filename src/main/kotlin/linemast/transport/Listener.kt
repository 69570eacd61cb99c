package linemast.transport

import io.ktor.network.sockets.aSocket
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch

/** Accepts connections on one address, a coroutine for each, at most [maxConnections] at a time. */
class Listener(
    private val loop: EventLoop,
    private val address: Address,
    private val maxConnections: Int,
    /** Closes a connection that can be done without when a new one comes and all are taken; false if there is none. */
    private val preemptFor: () -> Boolean = { false },
) {
    private var open = 0

    /** Accepts connections until [scope] is cancelled, and runs [onConnection] for each. */
    suspend fun serve(scope: CoroutineScope, onListening: () -> Unit = {}, onConnection: suspend (Connection) -> Unit) {
        val listener = aSocket(loop).tcp().bind(address.host, address.port) {
            reuseAddress = true
            // All workers may come at once, when a controller is back.
            backlogSize = maxConnections
        }
        onListening()
        listener.use {
            while (scope.isActive) {
                val socket = listener.accept()
                if (open >= maxConnections && !preemptFor()) {
                    socket.close()
                    continue
                }
                open++
                scope.launch {
                    try {
                        Connection(socket, loop).use { onConnection(it) }
                    } finally {
                        open--
                    }
                }
            }
        }
    }
}

/** Opens a connection to [address]. */
suspend fun connect(loop: EventLoop, address: Address): Connection =
    Connection(aSocket(loop).tcp().connect(address.host, address.port) { noDelay = true }, loop)
