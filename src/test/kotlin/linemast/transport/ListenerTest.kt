package linemast.transport

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.cancelChildren
import kotlinx.coroutines.launch
import kotlinx.coroutines.withContext
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.Timeout
import java.io.IOException
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.nio.file.Files
import java.nio.file.Path
import java.util.concurrent.CountDownLatch
import java.util.concurrent.atomic.AtomicInteger

/** Guards against a listener that uses more file descriptors than it may, or that ends with one of its connections (review/2). */
@Timeout(60)
class ListenerTest {
    /** The descriptor of a closed connection is freed by the next select, which has to come although more connections are queued. */
    @Test
    fun `descriptors of closed connections count until they are free`() {
        val idle = ArrayDeque<Connection>()
        val connectionCount = AtomicInteger()
        var mostDescriptors = 0
        withListener(
            closeIdleConnection = { idle.removeFirstOrNull()?.close() != null },
            onConnection = {
                idle += it
                connectionCount.incrementAndGet()
                mostDescriptors = maxOf(mostDescriptors, openDescriptors())
                runCatching { it.fill() }
            },
        ) { port ->
            val before = openDescriptors()
            val first = connectClients(port)
            while (connectionCount.get() < MAX_CONNECTIONS) Thread.sleep(1)
            val allQueued = CountDownLatch(1)
            launch { allQueued.await() }
            val second = connectClients(port)
            allQueued.countDown()
            while (connectionCount.get() < 2 * MAX_CONNECTIONS) Thread.sleep(1)
            (first + second).forEach(Socket::close)
            // The clients are in the same process, and each has a descriptor too.
            mostDescriptors -= before + 2 * MAX_CONNECTIONS
        }
        assertTrue(mostDescriptors <= MAX_CONNECTIONS + OTHER_DESCRIPTORS, "$mostDescriptors descriptors for $MAX_CONNECTIONS connections")
    }

    private fun connectClients(port: Int) = List(MAX_CONNECTIONS) { Socket("127.0.0.1", port) }

    @Test
    fun `a connection that ends with an error does not end the listener`() {
        val served = withListener(closeIdleConnection = { false }, onConnection = { throw IOException("reset by peer") }) { port ->
            List(5) { Socket("127.0.0.1", port).use { it.getInputStream().read() } }
        }
        assertEquals(List(5) { -1 }, served)
    }

    private fun <T> withListener(
        closeIdleConnection: () -> Boolean,
        onConnection: suspend (Connection) -> Unit,
        clients: CoroutineScope.(Int) -> T,
    ): T {
        val port = ServerSocket(0, 1, InetAddress.getLoopbackAddress()).use { it.localPort }
        return EventLoop().use { loop ->
            loop.run {
                val listening = CompletableDeferred<Unit>()
                val listener = Listener(loop, Address("127.0.0.1", port), MAX_CONNECTIONS, closeIdleConnection)
                launch { listener.serve(this, { listening.complete(Unit) }, onConnection) }
                listening.await()
                val loopScope = this
                withContext(Dispatchers.IO) { loopScope.clients(port) }.also { coroutineContext.cancelChildren() }
            }
        }
    }

    private fun openDescriptors(): Int = Files.list(Path.of("/proc/self/fd")).use { it.count().toInt() }

    private companion object {
        const val MAX_CONNECTIONS = 100

        /** For the accepted connection that waits for room, the directory that is listed, and files that the JVM opens. */
        const val OTHER_DESCRIPTORS = 10
    }
}
