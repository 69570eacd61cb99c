package linemast.scheduling

import linemast.domain.Command
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/**
 * Guards against starts in responses that do not reach their worker, as in a network partition that lets only heartbeats through.
 * A worker acknowledges a response by the time and the fencing token of its next heartbeat.
 */
class ResponseAcknowledgementTest {
    @Test
    fun `no start is sent before the worker shows this fencing token and acknowledges responses`() {
        val fixture = ClusterFixture()
        val worker = FakeWorker(fixture, "host-000001")
        fixture.submit("req-1", 4)
        worker.heartbeatFor(5, responseReceived = false)
        assertEquals(0, worker.tasks.size)
        worker.fencingToken = fixture.fencingToken
        fixture.advance(10_000_000)
        // The first heartbeat after a gap may be from a worker that responses do not reach.
        assertEquals(emptyList<Command>(), worker.heartbeat())
        assertEquals(4, worker.heartbeatFor(2).count { it is Command.Start })
        // The tasks were assigned while responses reached the worker, but its heartbeats stopped before the starts were sent.
        fixture.submit("req-2", 4)
        fixture.advance(6_000_000)
        assertEquals(0, worker.heartbeat().count { it is Command.Start })
    }

    @Test
    fun `a machine that responses do not reach gets no more starts, and its tasks start elsewhere once its incarnation ends`() {
        val fixture = ClusterFixture()
        val unreachable = FakeWorker(fixture, "host-000001")
        fixture.submit("req-1", 8)
        unreachable.heartbeatFor(4)
        assertEquals(8, unreachable.tasks.size)
        val other = FakeWorker(fixture, "host-000002")
        // The heartbeats of the unreachable worker arrive every five seconds, but no response reaches it: its lease expires and it begins a
        // new incarnation.
        repeat(2) {
            other.heartbeatFor(5)
            assertFalse(unreachable.heartbeat(responseReceived = false).any { it is Command.Start })
            assertEquals(0, other.tasks.size, "no task starts while it may still run on the first machine")
        }
        unreachable.incarnation++
        unreachable.tasks.clear()
        other.heartbeatFor(1)
        assertFalse(unreachable.heartbeat(responseReceived = false).any { it is Command.Start })
        other.heartbeatFor(3)
        assertEquals(8, other.tasks.size)
        assertTrue(fixture.cluster.machines.getValue(unreachable.name).unacknowledgedSinceMicros > 0)
    }

    /** If such machines stay registered, the next leader has to wait until their leases have expired. */
    @Test
    fun `a machine whose lease has expired is unregistered, and registered again before it gets a start`() {
        val fixture = ClusterFixture()
        val worker = FakeWorker(fixture, "host-000001")
        worker.heartbeatFor(3)
        val machine = fixture.cluster.machines.getValue(worker.name)
        assertTrue(machine.isRegistered)
        fixture.advance(10_000_000)
        assertTrue(machine.isRegistered, "a machine stays registered while its lease may be valid")
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
