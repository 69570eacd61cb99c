package linemast.wire

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.cancelChildren
import kotlinx.coroutines.launch
import kotlinx.coroutines.withContext
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.Timeout
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket

/** Real sockets on loopback: what a hostile or broken client sends must not pass for a request. */
@Timeout(60)
class HttpServerTest {
    @Test
    fun `requests are served and malformed ones refused`() {
        val answers = serve { port ->
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
        assertEquals(listOf("200", "200", "400", "400", "400", "400", "400", "503"), answers.map { it.split(' ')[1] })
        assertEquals("abc", answers[0].substringAfter("\r\n\r\n"))
        assertEquals("abc", answers[1].substringAfter("\r\n\r\n"))
    }

    @Test
    fun `a connection serves several requests and a body that ends too early gets no answer`() {
        val answers = serve { port ->
            val two = "POST /echo HTTP/1.1\r\nContent-Length: 1\r\n\r\na" +
                "POST /echo HTTP/1.1\r\nContent-Length: 1\r\nConnection: close\r\n\r\nb"
            listOf(exchange(port, two), exchange(port, "POST /echo HTTP/1.1\r\nContent-Length: 10\r\n\r\nabc"))
        }
        assertEquals(2, answers[0].split("HTTP/1.1 200").size - 1)
        assertEquals("", answers[1])
    }

    private fun <T> serve(talk: (Int) -> T): T {
        val port = ServerSocket(0, 1, InetAddress.getLoopbackAddress()).use { it.localPort }
        return EventLoop().use { loop ->
            loop.run {
                val listening = CompletableDeferred<Unit>()
                val server = HttpServer(loop, Address("127.0.0.1", port), 10) { request ->
                    when (request.path) {
                        "/malformed" -> throw MalformedException("test")
                        "/broken" -> error("test")
                        else -> HttpResponse(200, request.body)
                    }
                }
                launch { server.serve(this) { listening.complete(Unit) } }
                listening.await()
                withContext(Dispatchers.IO) { talk(port) }.also { coroutineContext.cancelChildren() }
            }
        }
    }

    private fun exchange(port: Int, request: String): String = Socket("127.0.0.1", port).use { socket ->
        socket.getOutputStream().write(request.toByteArray())
        socket.shutdownOutput()
        String(socket.getInputStream().readAllBytes())
    }
}
