package linemast.control

import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runCurrent
import kotlinx.coroutines.test.runTest
import linemast.scheduling.ClusterFixture
import linemast.scheduling.FakeWorker
import linemast.simulation.SimStore
import linemast.testSettings
import linemast.time.Clock
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import kotlin.random.Random

/** Guards against an acknowledgement of a cancellation after which a controller still starts tasks of the job. */
class ReportedCancellationsTest {
    private val fixture = ClusterFixture()
    private val worker = FakeWorker(fixture, "host-000001")

    @Test
    fun `a leader starts no task of a job whose cancellation is reported, whether it knows the job or not`() = runTest {
        fixture.submit("req-1", taskCount = 2)
        assertEquals(setOf("req-1", "req-2"), acknowledged("req-1", "req-2"))
        fixture.submit("req-2", taskCount = 2)
        fixture.submit("req-3", taskCount = 2)
        worker.heartbeatFor(4)
        assertEquals(setOf("req-3"), worker.tasks.keys.map { it.first.job }.toSet(), "the record of req-2 is from before its cancellation")
    }

    /** Another controller may lead by then, and may have read the store before the cancellation. */
    @Test
    fun `a leader that may not issue commands any more applies a cancellation without acknowledging it`() = runTest {
        val job = fixture.submit("req-1", taskCount = 2)
        testScheduler.advanceTimeBy(LEASE_MILLIS)
        assertEquals(emptySet<String>(), acknowledged("req-1"))
        assertTrue(job.cancelled)
    }

    private fun TestScope.acknowledged(vararg jobIds: String): Set<String> {
        val clock = Clock { currentTime * 1_000 }
        val store = SimStore(backgroundScope, clock, Random(1))
        val term = testTerm(store.clientOf("mast-0"), backgroundScope, clock, testSettings(ClusterFixture.TEAM).storeLimits)
        val cancellations = ReportedCancellations(term, fixture.cluster)
        val acknowledged = LinkedHashSet<String>()
        for (id in jobIds) cancellations.apply(id) { acknowledged += id }
        runCurrent()
        return acknowledged
    }

    private companion object {
        /** The lease of the term that [testTerm] creates. */
        const val LEASE_MILLIS = 60_000L
    }
}
