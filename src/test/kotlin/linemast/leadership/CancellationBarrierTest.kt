package linemast.leadership

import kotlinx.coroutines.async
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runTest
import linemast.testSettings
import linemast.time.Clock
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** Guards against users who are told of a cancellation while a leader may still start tasks of the job. */
class CancellationBarrierTest {
    private val requests = ArrayList<String>()

    /** A steady clock may run fast by 0.05%, so that the bound of 4 s is over later on another controller. */
    @Test
    fun `without an acknowledgement a user is told once no leader may start tasks on an older view`() = runTest {
        val barrier = barrier()
        barrier.awaitEffect("req-1")
        assertTrue(currentTime in 4_004..4_010, "after $currentTime ms")
        assertTrue(requests.size > 4, "the request is repeated, since a leader may be elected meanwhile")
        val toldMillis = currentTime
        barrier.awaitEffect("req-1")
        assertEquals(toldMillis, currentTime, "a cancellation in effect stays in effect")
    }

    @Test
    fun `an acknowledgement ends the wait of all who ask about the job, and of nobody else`() = runTest {
        val barrier = barrier()
        val waits = List(2) {
            async {
                barrier.awaitEffect("req-1")
                currentTime
            }
        }
        val other = async {
            barrier.awaitEffect("req-2")
            currentTime
        }
        delay(700)
        barrier.acknowledge("req-1")
        assertEquals(listOf(700L, 700L), waits.map { it.await() })
        assertTrue(other.await() > 4_000)
        assertEquals(setOf("req-1", "req-2"), requests.toSet())
    }

    /** A user who gives up after 5 s asks again, and the answer has to be ready then. */
    @Test
    fun `the wait goes on when the user who asked first has gone`() = runTest {
        val barrier = barrier()
        val first = launch { barrier.awaitEffect("req-1") }
        delay(1_000)
        first.cancel()
        delay(4_000)
        barrier.awaitEffect("req-1")
        assertEquals(5_000L, currentTime)
    }

    private fun TestScope.barrier() =
        CancellationBarrier(backgroundScope, Clock { currentTime * 1_000 }, testSettings().workers) { requests += it }
}
