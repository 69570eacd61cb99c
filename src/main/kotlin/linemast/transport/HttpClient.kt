package linemast.transport

import io.ktor.http.HttpMethod
import io.ktor.http.cio.parseResponse
import io.ktor.utils.io.ByteReadChannel
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.sync.Semaphore
import kotlinx.coroutines.sync.withPermit
import kotlinx.coroutines.withTimeoutOrNull
import linemast.serialization.Cbor
import linemast.serialization.Fields
import linemast.time.SECOND_MICROS
import linemast.time.SteadyClock
import java.io.IOException

/** The answer to a request that this process sent. */
class HttpReply(val status: Int, val body: ByteArray) {
    /** The body, which has to be a map. */
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
    private val loop: EventLoop,
    private val address: Address,
    maxConnections: Int,
    private val maxReplyBytes: Int = DEFAULT_MAX_REPLY,
) {
    private class Idle(val connection: Connection, val sinceMicros: Long)

    private val permits = Semaphore(maxConnections)
    private val idle = ArrayDeque<Idle>()

    /** Sends a request and waits for its answer; throws [NoAnswerException] if none comes in time. */
    suspend fun call(method: String, path: String, body: ByteArray?, timeoutMicros: Long): HttpReply {
        val reply = withTimeoutOrNull(timeoutMicros / 1_000) {
            permits.withPermit { exchange(method, path, body) }
        }
        return reply ?: throw NoAnswerException("$address: no answer to $method $path within ${timeoutMicros / 1_000} ms")
    }

    private suspend fun exchange(method: String, path: String, body: ByteArray?): HttpReply {
        val connection = try {
            takeIdle() ?: connect(loop, address)
        } catch (e: IOException) {
            throw NoAnswerException("$address: ${e.message}")
        }
        var reusable = false
        try {
            connection.write(request(method, path, body))
            val head = readHead(connection)?.let { parseResponse(ByteReadChannel(it)) } ?: noAnswer("closed the connection")
            try {
                val bytes = readBody(connection, head.headers, maxReplyBytes) ?: noAnswer("reply too large or without length")
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
            if (reusable) idle.addLast(Idle(connection, SteadyClock.nowMicros())) else connection.close()
        }
    }

    private fun noAnswer(problem: String): Nothing = throw NoAnswerException("$address: $problem")

    private fun takeIdle(): Connection? {
        while (true) {
            val kept = idle.removeLastOrNull() ?: return null
            val fresh = SteadyClock.nowMicros() - kept.sinceMicros < MAX_IDLE_MICROS
            if (fresh && kept.connection.isAtRest()) return kept.connection
            kept.connection.close()
        }
    }

    private fun request(method: String, path: String, body: ByteArray?): ByteArray = message {
        requestLine(HttpMethod.parse(method), path, "HTTP/1.1")
        headerLine("Host", address.toString())
        if (body != null) {
            headerLine("Content-Type", CBOR_TYPE)
            headerLine("Content-Length", body.size.toString())
        }
        emptyLine()
        if (body != null) bytes(body)
    }

    private companion object {
        const val DEFAULT_MAX_REPLY = 1024 * 1024
        const val MAX_IDLE_MICROS = 30 * SECOND_MICROS
    }
}
