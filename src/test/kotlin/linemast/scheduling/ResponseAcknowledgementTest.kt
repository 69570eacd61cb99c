package linemast.scheduling

import linemast.domain.Command
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** Starts leave only in responses that reach their worker. */
class ResponseAcknowledgementTest {
    @Test
    fun `no start leaves before the worker shows this fencing token and acknowledges responses`() {
        val fixture = ClusterFixture()
        val worker = FakeWorker(fixture, "host-000001")
        fixture.submit("req-1", 4)
        worker.heartbeatFor(5, responseReceived = false)
        assertEquals(0, worker.tasks.size)
        worker.fencingToken = fixture.fencingToken
        fixture.advance(10_000_000)
        // The first heartbeat after a gap may come from a worker that no response reaches.
        assertEquals(emptyList<Command>(), worker.heartbeat())
        assertEquals(4, worker.heartbeatFor(2).count { it is Command.Start })
        // Assigned while responses reached it, but not sent before its heartbeats stopped.
        fixture.submit("req-2", 4)
        fixture.advance(6_000_000)
        assertEquals(0, worker.heartbeat().count { it is Command.Start })
    }

    @Test
    fun `a machine that responses do not reach gets no more starts and its tasks run elsewhere, once`() {
        val fixture = ClusterFixture()
        val unreachable = FakeWorker(fixture, "host-000001")
        fixture.submit("req-1", 8)
        unreachable.heartbeatFor(4)
        assertEquals(8, unreachable.tasks.size)
        val other = FakeWorker(fixture, "host-000002")
        // Its heartbeats get through every five seconds, no response does: its lease expires and it begins a new incarnation.
        repeat(2) {
            other.heartbeatFor(5)
            assertFalse(unreachable.heartbeat(responseReceived = false).any { it is Command.Start })
            assertEquals(0, other.tasks.size, "they may still run on the first machine")
        }
        unreachable.incarnation++
        unreachable.tasks.clear()
        other.heartbeatFor(1)
        assertFalse(unreachable.heartbeat(responseReceived = false).any { it is Command.Start })
        other.heartbeatFor(3)
        assertEquals(8, other.tasks.size)
        assertTrue(fixture.cluster.machines.getValue(unreachable.name).unacknowledgedSinceMicros > 0)
    }

    /** Machines that stayed registered made the next leader wait a lease for each of them. */
    @Test
    fun `a machine whose lease has expired is unregistered, and registered again before it gets a start`() {
        val fixture = ClusterFixture()
        val worker = FakeWorker(fixture, "host-000001")
        worker.heartbeatFor(3)
        val machine = fixture.cluster.machines.getValue(worker.name)
        assertTrue(machine.isRegistered)
        fixture.advance(10_000_000)
        assertTrue(machine.isRegistered, "its lease may not have expired")
        fixture.advance(2_000_000)
        assertFalse(machine.isRegistered)
        assertEquals(listOf(worker.name), fixture.unregisteredMachines)
        fixture.submit("req-1", 4)
        worker.incarnation++
        worker.heartbeatFor(2)
        assertTrue(machine.isRegistered)
        worker.heartbeatFor(2)
        assertEquals(4, worker.tasks.size)
    }
}
