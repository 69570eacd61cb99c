package linemast.scheduling

import linemast.domain.Command
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** Cancelled and finished jobs are stopped wherever their tasks are. */
class CancellationTest {
    /** A worker that renews its lease with each response and does not stop what it was told to stop. */
    @Test
    fun `a cancelled task that does not end makes its machine lose the lease in time`() {
        val fixture = ClusterFixture()
        val worker = FakeWorker(fixture, "host-000001")
        fixture.submit("req-1", 2)
        fixture.submit("req-2", 2)
        worker.heartbeatFor(4)
        assertEquals(4, worker.tasks.size)
        val running = worker.tasks.keys.first { it.first.job == "req-1" }
        fixture.cluster.cancel(fixture.cluster.jobs.getValue("req-1"))
        val cancelledMicros = fixture.nowMicros
        var lastResponseMicros = 0L
        repeat(40) {
            fixture.advance(1_000_000)
            val commands = fixture.cluster.heartbeat(worker.nextHeartbeat(), fixture.nowMicros)
            if (commands != null) {
                lastResponseMicros = fixture.nowMicros
                assertTrue(commands.any { it is Command.Stop && it.task == running.first }, "the stop is repeated")
            }
        }
        val workers = fixture.workers
        assertTrue(lastResponseMicros > cancelledMicros + 5_000_000)
        assertTrue(lastResponseMicros + workers.leaseMicros < cancelledMicros + workers.cancelMicros)
    }

    @Test
    fun `without the leadership only cancelled tasks are stopped`() {
        val fixture = ClusterFixture()
        val worker = FakeWorker(fixture, "host-000001")
        fixture.submit("req-1", 2)
        fixture.submit("req-2", 2)
        worker.heartbeatFor(4)
        fixture.cluster.cancel(fixture.cluster.jobs.getValue("req-1"))
        fixture.submit("req-3", 2)
        fixture.advance(1_000_000)
        val commands = fixture.cluster.heartbeat(worker.nextHeartbeat(), fixture.nowMicros, CommandPermission.CANCELLATIONS_ONLY).orEmpty()
        assertEquals(setOf("req-1/0", "req-1/1"), commands.map { (it as Command.Stop).task.toString() }.toSet())
        fixture.advance(1_000_000)
        val next = fixture.cluster.heartbeat(worker.nextHeartbeat(), fixture.nowMicros, CommandPermission.NO_STARTS).orEmpty()
        assertTrue(next.none { it is Command.Start }, "cancellations may be unknown")
        fixture.advance(1_000_000)
        assertEquals(2, fixture.heartbeat(worker.nextHeartbeat()).count { it is Command.Start })
    }

    /** Its end was committed without a response, and the watch of the store showed it first. */
    @Test
    fun `a job whose record is gone is stopped where it still runs, and then forgotten`() {
        val fixture = ClusterFixture()
        val worker = FakeWorker(fixture, "host-000001")
        fixture.submit("req-1", 1)
        worker.heartbeatFor(4)
        assertEquals(1, worker.tasks.size)
        fixture.cluster.applyJobDeletion("req-1")
        assertEquals(listOf("req-1/0"), worker.heartbeatFor(1).map { (it as Command.Stop).task.toString() })
        worker.heartbeatFor(2)
        assertEquals(emptySet<String>(), fixture.cluster.jobs.keys)
    }
}
