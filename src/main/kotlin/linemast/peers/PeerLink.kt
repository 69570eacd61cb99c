package linemast.peers

import kotlinx.coroutines.channels.BufferOverflow
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeout
import kotlinx.coroutines.withTimeoutOrNull
import linemast.time.Clock
import linemast.time.MICROS_PER_MILLI
import linemast.time.SECOND_MICROS
import linemast.transport.Address
import linemast.transport.Connection
import linemast.transport.EventLoop
import linemast.transport.connect
import okio.Buffer

/** The connection over which this controller sends its messages to one other controller, at [address]. */
internal class PeerLink(
    private val loop: EventLoop,
    private val clock: Clock,
    private val address: Address,
    private val currentStatus: () -> PeerStatus,
) {
    /** Messages to send before the next status; the oldest ones are dropped if the peer does not accept them in time. */
    private val messages = Channel<PeerMessage>(MAX_QUEUED_MESSAGES, BufferOverflow.DROP_OLDEST)

    /** Queues [message], which is sent at once if the connection is open. */
    fun send(message: PeerMessage) {
        messages.trySend(message)
    }

    /** Sends the status once a second and all queued messages, over a connection that is opened again when it breaks. */
    suspend fun run(): Nothing {
        while (true) {
            logPeerFailure {
                withTimeout(SEND_TIMEOUT_MILLIS) { connect(loop, address) }.use { sendTo(it) }
            }
            delay(RECONNECT_DELAY_MILLIS)
        }
    }

    private suspend fun sendTo(connection: Connection): Nothing {
        while (true) {
            write(connection, currentStatus())
            val nextStatusMicros = clock.nowMicros() + SEND_INTERVAL_MICROS
            while (true) write(connection, nextMessage(nextStatusMicros) ?: break)
        }
    }

    /** Returns the next queued message, or null if there is none until [deadlineMicros]. */
    private suspend fun nextMessage(deadlineMicros: Long): PeerMessage? {
        val waitMillis = (deadlineMicros - clock.nowMicros()) / MICROS_PER_MILLI
        return withTimeoutOrNull(waitMillis) { messages.receive() }
    }

    private suspend fun write(connection: Connection, message: PeerMessage) {
        val body = PeerMessageCodec.encode(message)
        val frame = Buffer()
        frame.writeInt(body.size.toInt())
        frame.writeAll(body)
        withTimeout(SEND_TIMEOUT_MILLIS) { connection.write(frame.readByteArray()) }
    }

    private companion object {
        const val SEND_INTERVAL_MICROS = SECOND_MICROS
        const val RECONNECT_DELAY_MILLIS = 2_000L
        const val SEND_TIMEOUT_MILLIS = 5_000L
        const val MAX_QUEUED_MESSAGES = 64
    }
}
