package linemast.scheduling

import linemast.domain.Command
import linemast.domain.Heartbeat
import linemast.domain.TaskState
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import kotlin.random.Random

/**
 * Guards against a leader that accepts a delayed duplicate of a heartbeat and thereby removes tasks that are still running, and
 * against one that keeps rejecting the heartbeats of a restarted worker.
 */
class HeartbeatOrderTest {
    /** Duplicates of a worker's heartbeats arrive with delays of up to several leases. */
    @ParameterizedTest
    @ValueSource(ints = [11, 12, 13, 14, 15, 16, 17, 18, 19, 20, 21, 22, 23, 24, 25, 26, 27, 28, 29, 30])
    fun `delayed duplicates of heartbeats change nothing`(seed: Int) {
        val random = Random(seed)
        val fixture = ClusterFixture()
        val worker = FakeWorker(fixture, "host-000001")
        fixture.submit("req-1", 40)
        val sent = ArrayList<Heartbeat>()
        repeat(40) {
            fixture.advance(1_000_000)
            if (random.nextInt(3) == 0) worker.tasks.keys.randomOrNull(random)?.let { worker.tasks[it] = TaskState.ENDED }
            worker.heartbeat()
            sent += worker.nextHeartbeat().also { worker.sequenceNumber-- }
            val before = state(fixture)
            repeat(random.nextInt(3)) {
                val delayed = sent[random.nextInt(sent.size)]
                if (delayed.sequenceNumber < worker.sequenceNumber) assertEquals(emptyList<Command>(), fixture.heartbeat(delayed))
            }
            assertEquals(before, state(fixture))
        }
    }

    private fun state(fixture: ClusterFixture) = fixture.cluster.machines.values.map { machine ->
        listOf(
            machine.name,
            machine.heartbeats.incarnation,
            machine.heartbeats.sequenceNumber,
            machine.fencingToken,
            machine.lastHeartbeatMicros,
            machine.leaseEndMicros,
            machine.placements.keys.toList(),
        )
    } to fixture.cluster.jobs.values.map { it.completedCount to it.pendingCount }

    @Test
    fun `a delayed heartbeat does not add a terminated machine again`() {
        val fixture = ClusterFixture()
        val worker = FakeWorker(fixture, "host-000001")
        worker.heartbeatFor(3)
        val delayed = worker.nextHeartbeat()
        fixture.cluster.markTerminated(listOf(worker.name))
        assertEquals(emptyList<Command>(), fixture.heartbeat(delayed))
        assertFalse(worker.name in fixture.cluster.machines)
    }

    @Test
    fun `a restarted worker is accepted once its lease has expired, a single delayed heartbeat is not`() {
        val fixture = ClusterFixture()
        val worker = FakeWorker(fixture, "host-000001")
        fixture.submit("req-1", 4)
        worker.heartbeatFor(6)
        assertEquals(4, worker.tasks.size)
        val machine = fixture.cluster.machines.getValue(worker.name)
        val delayed = worker.nextHeartbeat().also(fixture::heartbeat)
        worker.sequenceNumber = 0
        worker.tasks.clear()
        worker.heartbeatFor(2)
        assertEquals(4, machine.placements.size, "until the lease expires, the earlier worker may still run the tasks")
        // Longer than a lease.
        fixture.advance(12_000_000)
        fixture.heartbeat(delayed)
        worker.heartbeatFor(5)
        assertEquals(4, worker.tasks.size)
    }

    /**
     * A machine restarts at once: its worker starts again with the first incarnation and sequence number, and gets new tasks. A
     * delayed heartbeat from before the restart has a higher incarnation or sequence number, and must not make the leader remove
     * these tasks.
     */
    @Test
    fun `a delayed heartbeat from before a restart does not remove tasks that were started after it`() {
        for (previousIncarnation in listOf(1L, 3L)) {
            val fixture = ClusterFixture()
            val worker = FakeWorker(fixture, "host-000001").apply { incarnation = previousIncarnation }
            worker.heartbeatFor(60)
            val delayed = worker.nextHeartbeat()
            worker.incarnation = 1
            worker.sequenceNumber = 0
            worker.fencingToken = 0
            worker.heartbeatFor(30)
            fixture.submit("req-1", 8)
            worker.heartbeatFor(5)
            assertEquals(8, worker.tasks.size)
            val machine = fixture.cluster.machines.getValue(worker.name)
            assertNull(fixture.cluster.heartbeat(delayed, fixture.nowMicros))
            assertEquals(8, machine.placements.size)
            worker.heartbeatFor(2)
            assertEquals(8, machine.placements.size)
        }
    }

    /** A worker with lower sequence numbers may hold tasks. A response would renew its lease without the leader recording that. */
    @Test
    fun `a heartbeat that is not accepted gets no response`() {
        val fixture = ClusterFixture()
        val worker = FakeWorker(fixture, "host-000001")
        worker.heartbeatFor(6)
        worker.sequenceNumber = 0
        assertNull(fixture.cluster.heartbeat(worker.nextHeartbeat(), fixture.nowMicros))
    }

    /** A delayed heartbeat from before a restart may have the sequence number of the next heartbeat, and list no tasks. */
    @Test
    fun `a delayed heartbeat with the next sequence number removes neither reported tasks nor starts in flight`() {
        for (areTasksReported in listOf(true, false)) {
            val fixture = ClusterFixture()
            val worker = FakeWorker(fixture, "host-000001")
            worker.heartbeatFor(60)
            worker.incarnation = 1
            worker.sequenceNumber = 0
            worker.fencingToken = 0
            worker.heartbeatFor(30)
            val job = fixture.submit("req-1", 8)
            worker.heartbeatFor(if (areTasksReported) 5 else 2)
            assertEquals(8, worker.tasks.size)
            fixture.advance(1_000_000)
            val before = job.placements.map { it.key }.toSet()
            val delayed =
                Heartbeat(
                    worker.name,
                    "",
                    ClusterFixture.TYPE.name,
                    "z",
                    false,
                    1,
                    worker.sequenceNumber + 1,
                    fixture.fencingToken,
                    null,
                    emptyList(),
                )
            fixture.cluster.heartbeat(delayed, fixture.nowMicros)
            assertEquals(before, job.placements.map { it.key }.toSet())
            worker.sequenceNumber++
            worker.heartbeatFor(3)
            assertEquals(before, job.placements.map { it.key }.toSet())
        }
    }
}
