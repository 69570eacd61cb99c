package linemast.wire

import io.ktor.http.cio.RequestResponseBuilder
import io.ktor.http.cio.parseRequest
import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.Socket
import io.ktor.network.sockets.aSocket
import io.ktor.network.sockets.openReadChannel
import io.ktor.network.sockets.openWriteChannel
import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.ByteWriteChannel
import io.ktor.utils.io.writePacket
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import org.slf4j.LoggerFactory

/**
 * Serves requests on one address, a routine per connection.
 *
 * At most [maxConnections] are open at a time, so that users and workers cannot use up the sockets
 * the controller needs for the store, the cloud and its peers.
 */
class HttpServer(
    private val selector: SelectorManager,
    private val address: Address,
    private val maxConnections: Int,
    private val handler: suspend (HttpRequest) -> HttpResponse,
) {
    private val log = LoggerFactory.getLogger(HttpServer::class.java)
    private var open = 0

    suspend fun serve(scope: CoroutineScope, onListening: () -> Unit = {}) {
        val listener = aSocket(selector).tcp().bind(address.host, address.port) {
            reuseAddress = true
            backlogSize = BACKLOG
        }
        onListening()
        listener.use {
            while (scope.isActive) {
                val socket = listener.accept()
                if (open >= maxConnections) {
                    socket.close()
                    continue
                }
                open++
                scope.launch {
                    try {
                        serveConnection(socket)
                    } catch (e: CancellationException) {
                        throw e
                    } catch (e: Exception) {
                        log.debug("connection ended: {}", e.toString())
                    } finally {
                        open--
                        socket.close()
                    }
                }
            }
        }
    }

    private suspend fun serveConnection(socket: Socket) {
        val input = socket.openReadChannel()
        val output = socket.openWriteChannel(autoFlush = false)
        while (true) {
            val goOn = withTimeoutOrNull(IDLE_MILLIS) { serveRequest(input, output) } ?: false
            if (!goOn) break
        }
    }

    /** One request and its response; false when the connection is to be closed. */
    private suspend fun serveRequest(input: ByteReadChannel, output: ByteWriteChannel): Boolean {
        val head = try {
            parseRequest(input) ?: return false
        } catch (e: CancellationException) {
            throw e
        } catch (e: Exception) {
            log.debug("malformed request: {}", e.toString())
            respond(output, HttpResponse(400), close = true)
            return false
        }
        val close: Boolean
        val request: HttpRequest?
        try {
            close = asksToClose(head.headers)
            val method = head.method.value
            val uri = head.uri.toString()
            val body = readBody(input, head.headers, MAX_BODY_BYTES)
            request = body?.let { HttpRequest(method, uri.substringBefore('?'), uri.substringAfter('?', ""), it) }
        } finally {
            head.release()
        }
        if (request == null) {
            respond(output, HttpResponse(400), close = true)
            return false
        }
        val response = try {
            handler(request)
        } catch (e: CancellationException) {
            throw e
        } catch (e: MalformedException) {
            log.debug("{} {} is malformed: {}", request.method, request.path, e.message)
            HttpResponse(400)
        } catch (e: Exception) {
            log.error("{} {} failed", request.method, request.path, e)
            HttpResponse.unavailable()
        }
        respond(output, if (response.stillValid()) response else HttpResponse.unavailable(), close)
        return !close
    }

    private suspend fun respond(output: ByteWriteChannel, response: HttpResponse, close: Boolean) {
        val builder = RequestResponseBuilder()
        try {
            builder.responseLine("HTTP/1.1", response.status, reason(response.status))
            builder.headerLine("Content-Type", CBOR_TYPE)
            builder.headerLine("Content-Length", response.body.size.toString())
            response.retryAfterSeconds?.let { builder.headerLine("Retry-After", it.toString()) }
            if (close) builder.headerLine("Connection", "close")
            builder.emptyLine()
            builder.bytes(response.body)
            output.writePacket(builder.build())
            output.flush()
        } finally {
            builder.release()
        }
    }

    private fun reason(status: Int) = when (status) {
        200 -> "OK"
        201 -> "Created"
        400 -> "Bad Request"
        404 -> "Not Found"
        421 -> "Misdirected Request"
        422 -> "Unprocessable Content"
        429 -> "Too Many Requests"
        503 -> "Service Unavailable"
        else -> "Status"
    }

    private companion object {
        const val BACKLOG = 256
        const val IDLE_MILLIS = 120_000L
    }
}
