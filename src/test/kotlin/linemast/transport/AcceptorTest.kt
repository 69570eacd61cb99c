package linemast.transport

import kotlinx.coroutines.async
import kotlinx.coroutines.delay
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runTest
import linemast.time.Clock
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.slf4j.Logger
import java.io.IOException
import java.lang.reflect.Proxy
import java.nio.channels.ClosedChannelException

/** Guards against a controller that ends, or that accepts no connections any more, when its file descriptors run out (review/2). */
class AcceptorTest {
    private val logged = ArrayList<String>()

    /** Whether the process has no free file descriptor. */
    private var isExhausted = false
    private var attempts = 0

    @Test
    fun `accepting fails while descriptors are exhausted and resumes within a second once there is room`() = runTest {
        val acceptor = acceptor()
        assertEquals("connection 1", acceptor.accept())
        isExhausted = true
        val next = async { acceptor.accept() }
        delay(60_000)
        assertTrue(next.isActive, "a failed attempt is repeated")
        isExhausted = false
        val roomMillis = currentTime
        next.await()
        assertTrue(currentTime - roomMillis <= 1_000, "resumed after ${currentTime - roomMillis} ms")
        assertTrue(attempts < 1_000, "attempts are paced")
    }

    /** Near the limit each closed connection lets one attempt succeed. */
    @Test
    fun `the log names a failure once and not once for each attempt`() = runTest {
        val acceptor = acceptor()
        repeat(100) {
            isExhausted = true
            val next = async { acceptor.accept() }
            delay(350)
            isExhausted = false
            next.await()
        }
        assertEquals(listOf("error"), logged)
        delay(10_000)
        repeat(2) { acceptor.accept() }
        assertEquals(listOf("error", "info"), logged)
    }

    @Test
    fun `a closed listening socket is reported to the caller`() = runTest {
        val acceptor = Acceptor<String>(ADDRESS, clock(), logger()) { throw ClosedChannelException() }
        assertTrue(runCatching { acceptor.accept() }.exceptionOrNull() is ClosedChannelException)
    }

    private fun TestScope.acceptor() = Acceptor(ADDRESS, clock(), logger()) {
        attempts++
        if (isExhausted) throw IOException("Too many open files")
        "connection $attempts"
    }

    private fun TestScope.clock() = Clock { currentTime * 1_000 }

    /** A logger that records the level of each line. */
    private fun logger(): Logger = Proxy.newProxyInstance(javaClass.classLoader, arrayOf(Logger::class.java)) { _, method, _ ->
        logged += method.name
        null
    } as Logger

    private companion object {
        val ADDRESS = Address("127.0.0.1", 1)
    }
}
