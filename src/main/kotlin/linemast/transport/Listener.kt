package linemast.transport

import io.ktor.network.sockets.Socket
import io.ktor.network.sockets.aSocket
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import linemast.time.SteadyClock
import org.slf4j.LoggerFactory
import java.io.IOException

/**
 * Accepts connections on one address, with one coroutine for each, at most [maxConnections] at a time. A connection counts until its
 * file descriptor is free.
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
    private val log = LoggerFactory.getLogger(Listener::class.java)

    /** Number of connections whose file descriptors are in use: those of closed ones are freed by the next select. */
    private var usedDescriptors = 0

    /**
     * Accepts connections until [scope] is cancelled and runs [onConnection] for each. No failure to accept a connection, and no
     * IOException of [onConnection], ends the listener.
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
            val acceptor = Acceptor(address, SteadyClock, log, listener::accept)
            while (scope.isActive) {
                val socket = acceptor.accept()
                if (!makeRoom()) {
                    socket.close()
                    continue
                }
                usedDescriptors++
                scope.launch { serveConnection(scope, socket, onConnection) }
            }
        }
    }

    /** Closes an idle connection if there are too many; returns false if that is not possible. */
    private suspend fun makeRoom(): Boolean {
        if (usedDescriptors < maxConnections) return true
        if (!closeIdleConnection()) return false
        while (usedDescriptors >= maxConnections) delay(SELECT_MILLIS)
        return true
    }

    private suspend fun serveConnection(scope: CoroutineScope, socket: Socket, onConnection: suspend (Connection) -> Unit) {
        try {
            Connection(socket, loop).use { onConnection(it) }
        } catch (e: IOException) {
            log.debug("{}: connection ended with an error: {}", address, e.toString())
        } finally {
            scope.launch { releaseDescriptor() }
        }
    }

    private suspend fun releaseDescriptor() {
        delay(SELECT_MILLIS)
        usedDescriptors--
    }

    private companion object {
        /** A timer fires after a select of the event loop that began after the timer was set. */
        const val SELECT_MILLIS = 1L
    }
}

/** Opens a connection to [address]. */
suspend fun connect(loop: EventLoop, address: Address): Connection =
    Connection(aSocket(loop).tcp().connect(address.host, address.port) { noDelay = true }, loop)
