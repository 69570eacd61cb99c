package linemast.transport

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.cancelChildren
import kotlinx.coroutines.launch
import kotlinx.coroutines.withContext
import linemast.serialization.MalformedException
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.Timeout
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket

/**
 * Guards against malformed or incomplete input of a hostile or faulty client that is served as a request, and against clients
 * that take all connections. The clients use real sockets on loopback.
 */
@Timeout(60)
class HttpServerTest {
    @Test
    fun `valid requests are served, malformed ones get status 400 and failing ones 503`() {
        val responses = withServer { port ->
            listOf(
                "POST /echo HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nConnection: close\r\n\r\nabc",
                "POST /echo HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
                "nonsense\r\n\r\n",
                "POST /echo HTTP/1.1\r\nContent-Length: 99999999\r\n\r\n",
                "POST /echo HTTP/1.1\r\nContent-Length: -5\r\n\r\n",
                "POST /echo HTTP/1.1\r\nContent-Length: abc\r\n\r\n",
                "POST /malformed HTTP/1.1\r\nContent-Length: 0\r\nConnection: close\r\n\r\n",
                "POST /broken HTTP/1.1\r\nContent-Length: 0\r\nConnection: close\r\n\r\n",
            ).map { exchange(port, it) }
        }
        assertEquals(listOf("200", "200", "400", "400", "400", "400", "400", "503"), responses.map { it.split(' ')[1] })
        assertEquals("abc", responses[0].substringAfter("\r\n\r\n"))
        assertEquals("abc", responses[1].substringAfter("\r\n\r\n"))
    }

    @Test
    fun `a connection serves several requests and a request with an incomplete body gets no response`() {
        val responses = withServer { port ->
            val twoRequests = "POST /echo HTTP/1.1\r\nContent-Length: 1\r\n\r\na" +
                "POST /echo HTTP/1.1\r\nContent-Length: 1\r\nConnection: close\r\n\r\nb"
            listOf(exchange(port, twoRequests), exchange(port, "POST /echo HTTP/1.1\r\nContent-Length: 10\r\n\r\nabc"))
        }
        assertEquals(2, responses[0].split("HTTP/1.1 200").size - 1)
        assertEquals("", responses[1])
    }

    @Test
    fun `when all connections are open a new one replaces the longest idle one, never one that has sent part of a request`() {
        val responses = withServer { port ->
            val receiving = Socket("127.0.0.1", port).also { it.getOutputStream().write("POST /echo HTTP/1.1\r\nContent-".toByteArray()) }
            val idle = List(MAX_CONNECTIONS - 1) { Socket("127.0.0.1", port) }
            // Each connection serves one request, so that all are known to be open and the first one has been idle for longest.
            idle.forEach { sendAndReadBody(it, "POST /echo HTTP/1.1\r\nContent-Length: 1\r\n\r\na") }
            val newConnectionResponse = exchange(port, "POST /echo HTTP/1.1\r\nContent-Length: 1\r\nConnection: close\r\n\r\nb")
            val longestIdleByte = idle.first().getInputStream().read()
            val lastIdleBody = sendAndReadBody(idle.last(), "POST /echo HTTP/1.1\r\nContent-Length: 1\r\n\r\nc")
            val receivingBody = sendAndReadBody(receiving, "Length: 1\r\n\r\nd")
            (idle + receiving).forEach(Socket::close)
            listOf(newConnectionResponse.substringAfter("\r\n\r\n"), longestIdleByte.toString(), lastIdleBody, receivingBody)
        }
        assertEquals(listOf("b", "-1", "c", "d"), responses)
    }

    /** Sends [text] and returns the body of the response, which is one byte, or "closed" if the connection was closed. */
    private fun sendAndReadBody(socket: Socket, text: String): String {
        socket.getOutputStream().write(text.toByteArray())
        val input = socket.getInputStream()
        val head = StringBuilder()
        while (!head.endsWith("\r\n\r\n")) {
            val next = input.read()
            if (next < 0) return "closed"
            head.append(next.toChar())
        }
        return input.read().toChar().toString()
    }

    private fun <T> withServer(exchanges: (Int) -> T): T {
        val port = ServerSocket(0, 1, InetAddress.getLoopbackAddress()).use { it.localPort }
        return EventLoop().use { loop ->
            loop.run {
                val listening = CompletableDeferred<Unit>()
                val server = HttpServer(loop, Address("127.0.0.1", port), MAX_CONNECTIONS) { request ->
                    when (request.path) {
                        "/malformed" -> throw MalformedException("test")
                        "/broken" -> error("test")
                        else -> HttpResponse(200, request.body)
                    }
                }
                launch { server.serve(this) { listening.complete(Unit) } }
                listening.await()
                withContext(Dispatchers.IO) { exchanges(port) }.also { coroutineContext.cancelChildren() }
            }
        }
    }

    private fun exchange(port: Int, request: String): String = Socket("127.0.0.1", port).use { socket ->
        socket.getOutputStream().write(request.toByteArray())
        socket.shutdownOutput()
        String(socket.getInputStream().readAllBytes())
    }

    private companion object {
        const val MAX_CONNECTIONS = 10
    }
}
