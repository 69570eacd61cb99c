package linemast.peers

import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.TimeoutCancellationException
import kotlinx.coroutines.launch
import linemast.settings.Settings
import linemast.time.Clock
import linemast.transport.Connection
import linemast.transport.EventLoop
import linemast.transport.Listener
import okio.Buffer
import org.slf4j.LoggerFactory

private val log = LoggerFactory.getLogger(PeerLinks::class.java)

/**
 * Maintains the connections between controllers. Each controller sends its status to every other controller once a second, and other
 * messages at once.
 *
 * On the wire, each message is preceded by its length in four bytes. A broken connection is opened again; no other operation waits for it.
 *
 * @property onMessage is called with each message that arrives from another controller.
 */
class PeerLinks(
    private val settings: Settings,
    private val loop: EventLoop,
    clock: Clock,
    /** Returns the status of this controller at the time of the call. */
    currentStatus: () -> PeerStatus,
    private val onMessage: (PeerMessage) -> Unit,
) {
    private val links = settings.members.associate { it.nodeName to PeerLink(loop, clock, it.peerAddress, currentStatus) }

    /** Sends [message] to the controller named [nodeName] if it is connected now; otherwise the message may be lost. */
    fun send(nodeName: String, message: PeerMessage) {
        links[nodeName]?.send(message)
    }

    /** Sends and receives messages until [scope] is cancelled. */
    suspend fun run(scope: CoroutineScope) {
        for (link in links.values) scope.launch { link.run() }
        Listener(loop, settings.peerListenAddress, MAX_CONNECTIONS).serve(scope) { connection ->
            logPeerFailure { receiveFrom(connection) }
        }
    }

    private suspend fun receiveFrom(connection: Connection) {
        while (true) {
            val length = Buffer().write(connection.read(Int.SIZE_BYTES)).readInt()
            if (length !in 1..PeerStatusCodec.MAX_BYTES) return
            onMessage(PeerMessageCodec.decode(Buffer().write(connection.read(length))))
        }
    }

    private companion object {
        const val MAX_CONNECTIONS = 8
    }
}

/** Runs [action]. Logs a failure at debug level only, because broken connections between controllers are expected. */
internal suspend fun logPeerFailure(action: suspend () -> Unit) {
    try {
        action()
    } catch (e: TimeoutCancellationException) {
        log.debug("connection to or from a peer failed: {}", e.toString())
    } catch (e: CancellationException) {
        throw e
    } catch (e: Exception) {
        log.debug("connection to or from a peer failed: {}", e.toString())
    }
}
