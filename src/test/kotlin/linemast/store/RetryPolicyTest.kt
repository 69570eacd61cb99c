package linemast.store

import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runTest
import kotlinx.coroutines.withTimeoutOrNull
import linemast.serialization.MalformedException
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Assertions.assertThrows
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.slf4j.LoggerFactory

/** Guards against retries that come too early or too late, and against retries of failures that no retry can repair. */
@OptIn(ExperimentalCoroutinesApi::class)
class RetryPolicyTest {
    private val log = LoggerFactory.getLogger(RetryPolicyTest::class.java)
    private val retry = RetryPolicy(delayMillis = 250, malformedDelayMillis = 1_000)

    /** Fails once in each way and then returns a result; records the times of the calls. */
    private class FailingCall(private val scope: TestScope) {
        val calledAtMillis = ArrayList<Long>()

        fun attempt(): String? {
            calledAtMillis += scope.currentTime
            return when (calledAtMillis.size) {
                1 -> throw StoreException.ErrorStatus(503)
                2 -> null
                3 -> throw MalformedException("no such field")
                else -> "result"
            }
        }
    }

    @Test
    fun `a call is repeated until it returns a value, each time after the delay that belongs to the failure`() = runTest {
        val call = FailingCall(this)
        assertEquals("result", retry.untilResult(log) { call.attempt() })
        assertEquals(listOf(0L, 250L, 500L, 1_500L), call.calledAtMillis)
    }

    @Test
    fun `an endless repetition waits only after failures and ends when it is cancelled`() = runTest {
        val calledAtMillis = ArrayList<Long>()
        val result = withTimeoutOrNull(10_000) {
            retry.repeatForever(log, "test") {
                calledAtMillis += currentTime
                when (calledAtMillis.size) {
                    2 -> throw StoreException.ErrorStatus(503)
                    4 -> awaitCancellation()
                }
            }
        }
        assertNull(result)
        assertEquals(listOf(0L, 0L, 250L, 250L), calledAtMillis)
    }

    @Test
    fun `exceptions other than store failures and malformed records end the repetition`() {
        val failure = assertThrows(IllegalStateException::class.java) {
            runTest { retry.repeatForever(log) { error("programming error") } }
        }
        assertTrue(failure.message == "programming error", "$failure")
    }
}
