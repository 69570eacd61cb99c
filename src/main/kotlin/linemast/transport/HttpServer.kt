package linemast.transport

import io.ktor.http.cio.parseRequest
import io.ktor.utils.io.ByteReadChannel
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import linemast.serialization.MalformedException
import linemast.time.SECOND_MICROS
import linemast.time.SteadyClock
import org.slf4j.LoggerFactory

/**
 * Serves requests on one address, a coroutine per connection.
 *
 * At most [maxConnections] are open at a time, so that users and workers cannot use up the sockets
 * the controller needs for the store, the cloud and its peers. With more clients than that, a new connection
 * takes the place of the one that has been idle for longest.
 */
class HttpServer(loop: EventLoop, address: Address, maxConnections: Int, private val handler: suspend (HttpRequest) -> HttpResponse) {
    private val log = LoggerFactory.getLogger(HttpServer::class.java)
    private val listener = Listener(loop, address, maxConnections, ::closeLongestIdle)

    /** Connections by when they last began or ended a request: one sweep for all is cheaper than a timer for each. */
    private val lastUsedMicros = HashMap<Connection, Long>()

    /** Connections that wait for a request, the longest idle first. */
    private val idle = LinkedHashSet<Connection>()

    /** Accepts connections until [scope] is cancelled. */
    suspend fun serve(scope: CoroutineScope, onListening: () -> Unit = {}) {
        scope.launch { sweep() }
        listener.serve(scope, onListening) { connection ->
            try {
                do {
                    lastUsedMicros[connection] = SteadyClock.nowMicros()
                    idle += connection
                } while (serveRequest(connection))
            } catch (e: CancellationException) {
                throw e
            } catch (e: Exception) {
                log.debug("connection ended: {}", e.toString())
            } finally {
                lastUsedMicros.remove(connection)
                idle -= connection
            }
        }
    }

    /** Closes what is idle, and what sends its request too slowly. */
    private suspend fun sweep() {
        while (true) {
            delay(SWEEP_MILLIS)
            val latest = SteadyClock.nowMicros() - IDLE_MICROS
            lastUsedMicros.filterValues { it < latest }.keys.forEach(Connection::close)
        }
    }

    /**
     * Its client connects again with the next request. One of whose request bytes have been read is left alone; to look for
     * unread ones would take them from the coroutine that waits for them.
     */
    private fun closeLongestIdle(): Boolean {
        val longest = idle.firstOrNull { it.available == 0 } ?: return false
        idle -= longest
        longest.close()
        return true
    }

    /** One request and its response; false when the connection is to be closed. */
    private suspend fun serveRequest(connection: Connection): Boolean {
        val head = try {
            val head = readHead(connection) ?: return false
            idle -= connection
            parseRequest(ByteReadChannel(head))
        } catch (e: CancellationException) {
            throw e
        } catch (e: java.io.IOException) {
            throw e
        } catch (e: Exception) {
            log.debug("malformed request: {}", e.toString())
            null
        }
        if (head == null) {
            respond(connection, HttpResponse(HttpStatus.BAD_REQUEST), close = true)
            return false
        }
        val close: Boolean
        val request: HttpRequest?
        try {
            close = asksToClose(head.headers)
            val method = head.method.value
            val uri = head.uri.toString()
            val body = readBody(connection, head.headers, MAX_BODY_BYTES)
            request = body?.let { HttpRequest(method, uri.substringBefore('?'), uri.substringAfter('?', ""), it) }
        } finally {
            head.release()
        }
        if (request == null) {
            respond(connection, HttpResponse(HttpStatus.BAD_REQUEST), close = true)
            return false
        }
        val response = answer(request)
        respond(connection, if (response.stillValid()) response else HttpResponse.unavailable(), close)
        return !close
    }

    private suspend fun answer(request: HttpRequest): HttpResponse = try {
        handler(request)
    } catch (e: CancellationException) {
        throw e
    } catch (e: MalformedException) {
        log.debug("{} {} is malformed: {}", request.method, request.path, e.message)
        HttpResponse(HttpStatus.BAD_REQUEST)
    } catch (e: Exception) {
        log.error("{} {} failed", request.method, request.path, e)
        HttpResponse.unavailable()
    }

    private suspend fun respond(connection: Connection, response: HttpResponse, close: Boolean) {
        connection.write(
            message {
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
        const val SWEEP_MILLIS = 15_000L
        const val IDLE_MICROS = 120 * SECOND_MICROS
    }
}
