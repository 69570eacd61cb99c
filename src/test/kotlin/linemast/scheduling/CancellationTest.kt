package linemast.scheduling

import linemast.domain.Command
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** Guards against tasks of cancelled or finished jobs that go on running because no stop is sent, or because a worker ignores stops. */
class CancellationTest {
    /** The worker ignores stops, and would keep its lease if the leader went on responding. */
    @Test
    fun `a worker that does not stop a cancelled task gets no more responses, so that its lease expires in time`() {
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
                assertTrue(commands.any { it is Command.Stop && it.task == running.first }, "each response repeats the stop")
            }
        }
        val workers = fixture.workers
        assertTrue(lastResponseMicros > cancelledMicros + 5_000_000)
        assertTrue(lastResponseMicros + workers.leaseMicros < cancelledMicros + workers.cancellationDeadlineMicros)
    }

    @Test
    fun `a leader whose term may be over sends only stops of cancelled tasks, and no starts while cancellations may be unknown`() {
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
        assertTrue(next.none { it is Command.Start }, "no start is sent while a cancellation may be unknown to the leader")
        fixture.advance(1_000_000)
        assertEquals(2, fixture.heartbeat(worker.nextHeartbeat()).count { it is Command.Start })
    }

    /** The write of the job's end was committed without a response, and the leader learns of it from the watch of the store. */
    @Test
    fun `a job whose record was deleted is stopped on the machines that still run it, and then removed`() {
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
