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
 * The connections between controllers: each pushes its [frame] to every other once a second.
 *
 * Frames are an Okio buffer behind its length. A link that is down is tried again; nothing waits for it.
 */
class PeerLinks(
    private val settings: Settings,
    private val loop: EventLoop,
    private val frame: () -> PeerFrame,
    private val onFrame: (PeerFrame) -> Unit,
) {
    private val log = LoggerFactory.getLogger(PeerLinks::class.java)

    /** Sends and receives frames until [scope] is cancelled. */
    suspend fun run(scope: CoroutineScope) {
        for (member in settings.members) scope.launch { push(member.peerAddr) }
        Listener(loop, settings.peerListen, MAX_ACCEPTED).serve(scope) { connection -> quietly { receive(connection) } }
    }

    private suspend fun push(address: Address) {
        while (true) {
            quietly {
                withTimeout(SEND_MILLIS) { connect(loop, address) }.use { connection ->
                    while (true) {
                        val message = Buffer().apply {
                            val body = frame().encode()
                            writeInt(body.size.toInt())
                            writeAll(body)
                        }
                        withTimeout(SEND_MILLIS) { connection.write(message.readByteArray()) }
                        delay(PERIOD_MILLIS)
                    }
                }
            }
            delay(RECONNECT_MILLIS)
        }
    }

    private suspend fun receive(connection: Connection) {
        while (true) {
            val length = Buffer().write(connection.read(Int.SIZE_BYTES)).readInt()
            if (length !in 1..PeerFrame.MAX_BYTES) return
            onFrame(PeerFrame.decode(Buffer().write(connection.read(length))))
        }
    }

    /** A broken link is no news worth more than a line for debugging. */
    private suspend fun quietly(action: suspend () -> Unit) {
        try {
            action()
        } catch (e: TimeoutCancellationException) {
            log.debug("peer link: {}", e.toString())
        } catch (e: CancellationException) {
            throw e
        } catch (e: Exception) {
            log.debug("peer link: {}", e.toString())
        }
    }

    private companion object {
        const val PERIOD_MILLIS = 1_000L
        const val RECONNECT_MILLIS = 2_000L
        const val SEND_MILLIS = 5_000L
        const val MAX_ACCEPTED = 8
    }
}
