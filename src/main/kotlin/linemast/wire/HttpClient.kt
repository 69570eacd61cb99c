package linemast.wire

import io.ktor.http.HttpMethod
import io.ktor.http.cio.RequestResponseBuilder
import io.ktor.http.cio.parseResponse
import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.Socket
import io.ktor.network.sockets.aSocket
import io.ktor.network.sockets.openReadChannel
import io.ktor.network.sockets.openWriteChannel
import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.ByteWriteChannel
import io.ktor.utils.io.writePacket
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.sync.Semaphore
import kotlinx.coroutines.sync.withPermit
import kotlinx.coroutines.withTimeoutOrNull
import java.io.IOException

class HttpReply(val status: Int, val body: ByteArray) {
    fun fields(): Fields = Cbor.decodeMap(body)
}

/** No usable answer came: the request may or may not have been carried out. */
class NoAnswerException(message: String) : IOException(message)

/**
 * Requests to one endpoint over a few kept connections.
 *
 * A connection serves one request at a time and is dropped after any doubt, so a late answer can never be
 * taken for the answer to another request.
 */
class HttpClient(
    private val selector: SelectorManager,
    private val address: Address,
    maxConnections: Int,
    private val maxReplyBytes: Int = DEFAULT_MAX_REPLY,
) {
    private class Connection(val socket: Socket, val input: ByteReadChannel, val output: ByteWriteChannel) {
        var idleSinceMicros = 0L
    }

    private val permits = Semaphore(maxConnections)
    private val idle = ArrayDeque<Connection>()

    suspend fun call(method: String, path: String, body: ByteArray?, timeoutMicros: Long): HttpReply {
        val reply = withTimeoutOrNull(timeoutMicros / 1_000) {
            permits.withPermit { exchange(method, path, body) }
        }
        return reply ?: throw NoAnswerException("$address: no answer to $method $path within ${timeoutMicros / 1_000} ms")
    }

    private suspend fun exchange(method: String, path: String, body: ByteArray?): HttpReply {
        val connection = try {
            takeIdle() ?: open()
        } catch (e: IOException) {
            throw NoAnswerException("$address: ${e.message}")
        }
        var reusable = false
        try {
            send(connection.output, method, path, body)
            val head = parseResponse(connection.input) ?: throw NoAnswerException("$address: closed the connection")
            try {
                val bytes = readBody(connection.input, head.headers, maxReplyBytes)
                    ?: throw NoAnswerException("$address: reply too large or without length")
                reusable = !asksToClose(head.headers)
                return HttpReply(head.status, bytes)
            } finally {
                head.release()
            }
        } catch (e: CancellationException) {
            throw e
        } catch (e: NoAnswerException) {
            throw e
        } catch (e: Exception) {
            throw NoAnswerException("$address: $e")
        } finally {
            if (reusable) {
                connection.idleSinceMicros = SteadyClock.nowMicros()
                idle.addLast(connection)
            } else {
                connection.socket.close()
            }
        }
    }

    private fun takeIdle(): Connection? {
        while (true) {
            val connection = idle.removeLastOrNull() ?: return null
            val fresh = SteadyClock.nowMicros() - connection.idleSinceMicros < MAX_IDLE_MICROS
            if (fresh && !connection.input.isClosedForRead) return connection
            connection.socket.close()
        }
    }

    private suspend fun open(): Connection {
        val socket = aSocket(selector).tcp().connect(address.host, address.port) { noDelay = true }
        return Connection(socket, socket.openReadChannel(), socket.openWriteChannel(autoFlush = false))
    }

    private suspend fun send(output: ByteWriteChannel, method: String, path: String, body: ByteArray?) {
        val builder = RequestResponseBuilder()
        try {
            builder.requestLine(HttpMethod.parse(method), path, "HTTP/1.1")
            builder.headerLine("Host", address.toString())
            if (body != null) {
                builder.headerLine("Content-Type", CBOR_TYPE)
                builder.headerLine("Content-Length", body.size.toString())
            }
            builder.emptyLine()
            if (body != null) builder.bytes(body)
            output.writePacket(builder.build())
            output.flush()
        } finally {
            builder.release()
        }
    }

    private companion object {
        const val DEFAULT_MAX_REPLY = 1024 * 1024
        const val MAX_IDLE_MICROS = 30 * SECOND_MICROS
    }
}
