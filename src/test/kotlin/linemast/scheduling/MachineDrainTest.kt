package linemast.scheduling

import linemast.domain.Command
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** When a machine that is preempted or scaled in gets no starts, and when it gets them again. */
class MachineDrainTest {
    private val fixture = ClusterFixture()
    private val worker = FakeWorker(fixture, "host-000001")

    private fun startsWithin(seconds: Int): Int = worker.heartbeatFor(seconds).count { it is Command.Start }

    /** Guards against machines that stay closed for good after a preemption notice that is no longer reported. */
    @Test
    fun `a machine gets starts again once its preemption notice is no longer reported`() {
        worker.heartbeatFor(2)
        worker.preemptionNoticeMicros = 30_000_000
        worker.heartbeatFor(2)
        fixture.submit("req-1", 2)
        assertEquals(0, startsWithin(5), "no starts while the notice is reported")
        worker.preemptionNoticeMicros = null
        assertTrue(startsWithin(5) == 2, "the tasks start once the notice is withdrawn")
    }
}
