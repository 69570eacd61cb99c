package linemast.transport

import io.ktor.network.sockets.aSocket
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch

/**
 * Accepts connections on one address, a coroutine for each, at most [maxConnections] at a time.
 *
 * @property closeIdleConnection is called when a new connection comes and all are taken: closes one that can be done without, or
 * returns false, and the new one is closed.
 */
class Listener(
    private val loop: EventLoop,
    private val address: Address,
    private val maxConnections: Int,
    private val closeIdleConnection: () -> Boolean = { false },
) {
    private var openConnections = 0

    /** Accepts connections until [scope] is cancelled, and runs [onConnection] for each; [onListening] once the address is bound. */
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
