package linemast.transport

import io.ktor.http.cio.parseRequest
import io.ktor.utils.io.ByteReadChannel
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import linemast.serialization.MalformedException
import org.slf4j.LoggerFactory
import java.io.IOException

/**
 * Serves HTTP requests on one address, with one coroutine per connection.
 *
 * At most [maxConnections] are open at a time, so that users and workers cannot use up the sockets that the controller needs
 * for the store, the cloud and its peers. When all are open, a new connection replaces the one that has been idle for longest.
 *
 * @property handler returns the response to a request. A MalformedException becomes a 400, any other failure a 503.
 */
class HttpServer(loop: EventLoop, address: Address, maxConnections: Int, private val handler: suspend (HttpRequest) -> HttpResponse) {
    private val log = LoggerFactory.getLogger(HttpServer::class.java)
    private val connections = ServerConnections()
    private val listener = Listener(loop, address, maxConnections, connections::closeLongestIdle)

    /** The result of reading one request from a connection. */
    private sealed interface Received {
        class Complete(val request: HttpRequest, val closeAfterwards: Boolean) : Received

        data object Malformed : Received

        data object EndOfStream : Received
    }

    /** Accepts connections until [scope] is cancelled; calls [onListening] once clients can connect. */
    suspend fun serve(scope: CoroutineScope, onListening: () -> Unit = {}) {
        scope.launch { closeExpiredConnections() }
        listener.serve(scope, onListening, ::serveConnection)
    }

    private suspend fun closeExpiredConnections() {
        while (true) {
            delay(EXPIRY_CHECK_PERIOD_MILLIS)
            connections.closeExpired()
        }
    }

    private suspend fun serveConnection(connection: Connection) {
        try {
            do connections.recordIdle(connection) while (serveRequest(connection))
        } catch (e: CancellationException) {
            throw e
        } catch (e: Exception) {
            // No failure of one connection may end the process.
            log.debug("connection ended with an error: {}", e.toString())
        } finally {
            connections.remove(connection)
        }
    }

    /** Serves one request; returns false if the connection must be closed. */
    private suspend fun serveRequest(connection: Connection): Boolean = when (val received = receive(connection)) {
        is Received.EndOfStream -> false
        is Received.Malformed -> {
            respond(connection, HttpResponse(HttpStatus.BAD_REQUEST), close = true)
            false
        }
        is Received.Complete -> {
            val response = handle(received.request)
            respond(connection, if (response.isStillValid()) response else HttpResponse.unavailable(), received.closeAfterwards)
            !received.closeAfterwards
        }
    }

    private suspend fun receive(connection: Connection): Received {
        val head = try {
            val bytes = readHead(connection) ?: return Received.EndOfStream
            connections.recordRequestStarted(connection)
            parseRequest(ByteReadChannel(bytes))
        } catch (e: CancellationException) {
            throw e
        } catch (e: IOException) {
            throw e
        } catch (e: Exception) {
            log.debug("malformed request line or headers, responding with 400: {}", e.toString())
            null
        }
        if (head == null) return Received.Malformed
        try {
            val closeAfterwards = closesConnection(head.headers)
            val method = head.method.value
            val uri = head.uri.toString()
            val body = readBody(connection, head.headers, MAX_BODY_BYTES)
            if (body == null) {
                val length = head.headers["Content-Length"] ?: "unknown"
                log.info("{} {}: refused with 400, body of {} bytes is malformed or exceeds {} bytes", method, uri, length, MAX_BODY_BYTES)
                return Received.Malformed
            }
            return Received.Complete(HttpRequest(method, uri.substringBefore('?'), uri.substringAfter('?', ""), body), closeAfterwards)
        } finally {
            head.release()
        }
    }

    private suspend fun handle(request: HttpRequest): HttpResponse = try {
        handler(request)
    } catch (e: CancellationException) {
        throw e
    } catch (e: MalformedException) {
        log.debug("{} {}: malformed request, responding with 400: {}", request.method, request.path, e.message)
        HttpResponse(HttpStatus.BAD_REQUEST)
    } catch (e: Exception) {
        log.error("{} {} failed, responding with 503", request.method, request.path, e)
        HttpResponse.unavailable()
    }

    private suspend fun respond(connection: Connection, response: HttpResponse, close: Boolean) {
        connection.write(
            encodeMessage {
                responseLine("HTTP/1.1", response.status, HttpStatus.reason(response.status))
                headerLine("Content-Type", CBOR_TYPE)
                headerLine("Content-Length", response.body.size.toString())
                response.retryAfterSeconds?.let { headerLine("Retry-After", it.toString()) }
                if (close) headerLine("Connection", "close")
                emptyLine()
                bytes(response.body)
            },
        )
    }

    private companion object {
        const val EXPIRY_CHECK_PERIOD_MILLIS = 15_000L
    }
}
