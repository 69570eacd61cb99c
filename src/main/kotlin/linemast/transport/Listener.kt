package linemast.transport

import io.ktor.network.sockets.aSocket
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch

/**
 * Accepts connections on one address, with one coroutine for each, at most [maxConnections] at a time.
 *
 * @property closeIdleConnection called when a connection arrives while [maxConnections] are open. Closes one of the open
 * connections, or returns false if none can be closed; the new connection is then closed instead.
 */
class Listener(
    private val loop: EventLoop,
    private val address: Address,
    private val maxConnections: Int,
    private val closeIdleConnection: () -> Boolean = { false },
) {
    private var openConnections = 0

    /**
     * Accepts connections until [scope] is cancelled and runs [onConnection] for each.
     *
     * Calls [onListening] once the address is bound.
     */
    suspend fun serve(scope: CoroutineScope, onListening: () -> Unit = {}, onConnection: suspend (Connection) -> Unit) {
        val listener = aSocket(loop).tcp().bind(address.host, address.port) {
            reuseAddress = true
            // All workers may connect at the same time when a controller is reachable again.
            backlogSize = maxConnections
        }
        onListening()
        listener.use {
            while (scope.isActive) {
                val socket = listener.accept()
                if (openConnections >= maxConnections && !closeIdleConnection()) {
                    socket.close()
                    continue
                }
                openConnections++
                scope.launch {
                    try {
                        Connection(socket, loop).use { onConnection(it) }
                    } finally {
                        openConnections--
                    }
                }
            }
        }
    }
}

/** Opens a connection to [address]. */
suspend fun connect(loop: EventLoop, address: Address): Connection =
    Connection(aSocket(loop).tcp().connect(address.host, address.port) { noDelay = true }, loop)
