package linemast.peers

import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.Socket
import io.ktor.network.sockets.aSocket
import io.ktor.network.sockets.openReadChannel
import io.ktor.network.sockets.openWriteChannel
import io.ktor.utils.io.readByteArray
import io.ktor.utils.io.readInt
import io.ktor.utils.io.writeByteArray
import io.ktor.utils.io.writeInt
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeout
import linemast.settings.Settings
import linemast.wire.Address
import okio.Buffer
import org.slf4j.LoggerFactory

/**
 * The connections between controllers: each pushes its [frame] to every other once a second.
 *
 * Frames are an Okio buffer behind its length. A link that is down is tried again; nothing waits for it.
 */
class PeerLinks(
    private val settings: Settings,
    private val selector: SelectorManager,
    private val frame: () -> PeerFrame,
    private val onFrame: (PeerFrame) -> Unit,
) {
    private val log = LoggerFactory.getLogger(PeerLinks::class.java)
    private var accepted = 0

    suspend fun run(scope: CoroutineScope) {
        for (member in settings.members) scope.launch { push(member.peerAddr) }
        val address = settings.peerListen
        val listener = aSocket(selector).tcp().bind(address.host, address.port) { reuseAddress = true }
        listener.use {
            while (scope.isActive) {
                val socket = listener.accept()
                if (accepted >= MAX_ACCEPTED) {
                    socket.close()
                    continue
                }
                accepted++
                scope.launch {
                    try {
                        quietly { receive(socket) }
                    } finally {
                        accepted--
                        socket.close()
                    }
                }
            }
        }
    }

    private suspend fun push(address: Address) {
        while (true) {
            quietly {
                aSocket(selector).tcp().connect(address.host, address.port).use { socket ->
                    val output = socket.openWriteChannel(autoFlush = false)
                    while (true) {
                        val bytes = frame().encode().readByteArray()
                        withTimeout(SEND_MILLIS) {
                            output.writeInt(bytes.size)
                            output.writeByteArray(bytes)
                            output.flush()
                        }
                        delay(PERIOD_MILLIS)
                    }
                }
            }
            delay(RECONNECT_MILLIS)
        }
    }

    private suspend fun receive(socket: Socket) {
        val input = socket.openReadChannel()
        while (true) {
            val length = input.readInt()
            if (length !in 1..PeerFrame.MAX_BYTES) return
            onFrame(PeerFrame.decode(Buffer().write(input.readByteArray(length))))
        }
    }

    /** A broken link is no news worth more than a line for debugging. */
    private suspend fun quietly(action: suspend () -> Unit) {
        try {
            action()
        } catch (e: kotlinx.coroutines.TimeoutCancellationException) {
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
