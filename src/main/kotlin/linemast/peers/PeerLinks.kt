package linemast.peers

import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.TimeoutCancellationException
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeout
import linemast.settings.Settings
import linemast.transport.Address
import linemast.transport.Connection
import linemast.transport.EventLoop
import linemast.transport.Listener
import linemast.transport.connect
import okio.Buffer
import org.slf4j.LoggerFactory

/**
 * Maintains the connections between controllers. Each controller sends its status to every other controller once a second.
 *
 * On the wire, each status is preceded by its length in four bytes. A broken connection is opened again; no other operation waits for it.
 *
 * @property currentStatus returns the status of this controller at the time of the call.
 * @property onStatus is called with each status that arrives from another controller.
 */
class PeerLinks(
    private val settings: Settings,
    private val loop: EventLoop,
    private val currentStatus: () -> PeerStatus,
    private val onStatus: (PeerStatus) -> Unit,
) {
    private val log = LoggerFactory.getLogger(PeerLinks::class.java)

    /** Sends and receives statuses until [scope] is cancelled. */
    suspend fun run(scope: CoroutineScope) {
        for (member in settings.members) scope.launch { sendRepeatedlyTo(member.peerAddress) }
        Listener(loop, settings.peerListenAddress, MAX_CONNECTIONS).serve(scope) { connection -> logFailure { receiveFrom(connection) } }
    }

    private suspend fun sendRepeatedlyTo(address: Address) {
        while (true) {
            logFailure {
                withTimeout(SEND_TIMEOUT_MILLIS) { connect(loop, address) }.use { sendTo(it) }
            }
            delay(RECONNECT_DELAY_MILLIS)
        }
    }

    private suspend fun sendTo(connection: Connection) {
        while (true) {
            val message = prependLength(PeerStatusCodec.encode(currentStatus()))
            withTimeout(SEND_TIMEOUT_MILLIS) { connection.write(message) }
            delay(SEND_INTERVAL_MILLIS)
        }
    }

    private fun prependLength(body: Buffer): ByteArray {
        val frame = Buffer()
        frame.writeInt(body.size.toInt())
        frame.writeAll(body)
        return frame.readByteArray()
    }

    private suspend fun receiveFrom(connection: Connection) {
        while (true) {
            val length = Buffer().write(connection.read(Int.SIZE_BYTES)).readInt()
            if (length !in 1..PeerStatusCodec.MAX_BYTES) return
            onStatus(PeerStatusCodec.decode(Buffer().write(connection.read(length))))
        }
    }

    /** Runs [action]. Logs a failure at debug level only, because broken connections between controllers are expected. */
    private suspend fun logFailure(action: suspend () -> Unit) {
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

    private companion object {
        const val SEND_INTERVAL_MILLIS = 1_000L
        const val RECONNECT_DELAY_MILLIS = 2_000L
        const val SEND_TIMEOUT_MILLIS = 5_000L
        const val MAX_CONNECTIONS = 8
    }
}
