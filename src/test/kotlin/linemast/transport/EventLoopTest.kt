package linemast.transport

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.cancelChildren
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import org.junit.jupiter.api.Assertions.assertArrayEquals
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.Timeout
import java.io.IOException
import java.net.InetAddress
import java.net.ServerSocket
import kotlin.concurrent.thread
import kotlin.random.Random

/**
 * Guards against coroutines that are never resumed, or are resumed in the wrong order: one thread runs all coroutines, timers and
 * sockets, and it may wait in the selector when a timer is due, another thread resumes a coroutine, or a socket becomes ready.
 */
@Timeout(60)
class EventLoopTest {
    @Test
    fun `timers fire in the order of their delays and cancelled timers never fire`() {
        val fired = ArrayList<Int>()
        val timedOutResult = EventLoop().use { loop ->
            loop.run {
                coroutineScope {
                    for (millis in listOf(30, 10, 20)) launch { delay(millis.toLong()).also { fired += millis } }
                    val cancelled = launch { delay(15).also { fired += 15 } }
                    cancelled.cancel()
                    withTimeoutOrNull(5) { delay(10_000) }
                }
            }
        }
        assertNull(timedOutResult)
        assertEquals(listOf(10, 20, 30), fired)
    }

    @Test
    fun `another thread can resume a coroutine`() {
        val received = EventLoop().use { loop ->
            loop.run {
                val message = CompletableDeferred<String>()
                thread { message.complete("from elsewhere") }
                message.await()
            }
        }
        assertEquals("from elsewhere", received)
    }

    /** The message exceeds the sockets' buffers, so that both sides have to wait until the other side has read. */
    @Test
    fun `large messages arrive complete in both directions at the same time`() {
        val address = Address("127.0.0.1", ServerSocket(0, 1, InetAddress.getLoopbackAddress()).use { it.localPort })
        val sent = Random(SEED).nextBytes(12_000_000)
        println("seed $SEED")
        EventLoop().use { loop ->
            loop.run {
                val listening = CompletableDeferred<Unit>()
                launch {
                    Listener(loop, address, 4).serve(this, { listening.complete(Unit) }) { connection ->
                        repeat(sent.size / CHUNK_BYTES) { connection.write(connection.read(CHUNK_BYTES)) }
                    }
                }
                listening.await()
                connect(loop, address).use { connection ->
                    launch { connection.write(sent) }
                    assertArrayEquals(sent, connection.read(sent.size))
                    assertTrue(runCatching { connection.read(1) }.exceptionOrNull() is IOException)
                }
                coroutineContext.cancelChildren()
            }
        }
    }

    private companion object {
        const val SEED = 7
        const val CHUNK_BYTES = 100_000
    }
}
