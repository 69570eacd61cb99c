package linemast.transport

import io.ktor.http.HttpMethod
import io.ktor.http.cio.parseResponse
import io.ktor.utils.io.ByteReadChannel
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.sync.Semaphore
import kotlinx.coroutines.sync.withPermit
import kotlinx.coroutines.withTimeoutOrNull
import linemast.time.MICROS_PER_MILLI
import linemast.time.SECOND_MICROS
import linemast.time.SteadyClock
import java.io.IOException

/** Thrown for a request that got no usable response; the request may or may not have been executed. */
class NoResponseException(message: String) : IOException(message)

/**
 * Sends requests to one endpoint over a few persistent connections.
 *
 * A connection carries one request at a time and is closed unless its response has been read completely, so that a delayed
 * response cannot be mistaken for the response to another request.
 *
 * @param maxConnections largest number of concurrent requests; further requests wait, and their timeout includes the wait.
 * @property maxResponseBytes size of the largest response body that is accepted.
 */
class HttpClient(
    private val loop: EventLoop,
    private val address: Address,
    maxConnections: Int,
    private val maxResponseBytes: Int = DEFAULT_MAX_RESPONSE_BYTES,
) {
    private class IdleConnection(val connection: Connection, val idleSinceMicros: Long)

    private val permits = Semaphore(maxConnections)
    private val idle = ArrayDeque<IdleConnection>()

    /** Sends a request and returns its response; throws a [NoResponseException] if none arrives within [timeoutMicros]. */
    suspend fun call(method: String, path: String, body: ByteArray?, timeoutMicros: Long): HttpClientResponse {
        val response = withTimeoutOrNull(timeoutMicros / MICROS_PER_MILLI) {
            permits.withPermit { exchange(method, path, body) }
        }
        return response ?: throw NoResponseException("$address: no response to $method $path within ${timeoutMicros / MICROS_PER_MILLI} ms")
    }

    private suspend fun exchange(method: String, path: String, body: ByteArray?): HttpClientResponse {
        val connection = try {
            takeIdle() ?: connect(loop, address)
        } catch (e: IOException) {
            throw NoResponseException("$address: connection failed: ${e.message}")
        }
        var reusable = false
        try {
            connection.write(encodeRequest(method, path, body))
            val head = readHead(connection)?.let { parseResponse(ByteReadChannel(it)) }
                ?: throwNoResponse("connection closed before a response")
            try {
                val bytes = readBody(connection, head.headers, maxResponseBytes)
                    ?: throwNoResponse("response body too large or of invalid length")
                reusable = !closesConnection(head.headers)
                return HttpClientResponse(head.status, bytes)
            } finally {
                head.release()
            }
        } catch (e: CancellationException) {
            throw e
        } catch (e: NoResponseException) {
            throw e
        } catch (e: Exception) {
            // The request may have been executed, whatever the failure was.
            throw NoResponseException("$address: no usable response: $e")
        } finally {
            if (reusable) idle.addLast(IdleConnection(connection, SteadyClock.nowMicros())) else connection.close()
        }
    }

    private fun throwNoResponse(problem: String): Nothing = throw NoResponseException("$address: $problem")

    private fun takeIdle(): Connection? {
        while (true) {
            val latest = idle.removeLastOrNull() ?: return null
            val isFresh = SteadyClock.nowMicros() - latest.idleSinceMicros < MAX_IDLE_MICROS
            if (isFresh && latest.connection.isReusable()) return latest.connection
            latest.connection.close()
        }
    }

    private fun encodeRequest(method: String, path: String, body: ByteArray?): ByteArray = encodeMessage {
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
        const val DEFAULT_MAX_RESPONSE_BYTES = 1024 * 1024
        const val MAX_IDLE_MICROS = 30 * SECOND_MICROS
    }
}
