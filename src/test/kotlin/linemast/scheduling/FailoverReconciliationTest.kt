package linemast.scheduling

import linemast.domain.JobRecord
import linemast.domain.TaskId
import linemast.domain.TaskState
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** Tasks of a previous leader that the new one has not seen. */
class FailoverReconciliationTest {
    /** A copy of a heartbeat to a previous leader must not count as proof that the machine knows this one. */
    @Test
    fun `after a failover activated jobs wait for machines that can hold their tasks, and a late copy does not end the wait`() {
        val activated = JobRecord(ClusterFixture.spec("req-1", 4), 0, activated = true, cancelled = false)
        val fixture = ClusterFixture(registered = listOf("host-000001", "host-000002"), openJobs = listOf(activated))
        val reporting = FakeWorker(fixture, "host-000001")
        val missing = FakeWorker(fixture, "host-000002").apply { fencingToken = 4 }
        reporting.heartbeatFor(2)
        fixture.heartbeat(missing.nextHeartbeat())
        reporting.heartbeatFor(3)
        assertEquals(0, reporting.tasks.size)
        fixture.advance(ClusterFixture.DEGRADED_MODE_MICROS)
        reporting.heartbeatFor(3)
        assertEquals(0, reporting.tasks.size, "the lease may have been renewed to the end of the degraded mode")
        reporting.heartbeatFor(12)
        assertEquals(4, reporting.tasks.size)
    }

    /** Spot machines are preempted without notice all the time: each failover waited for a lease because of them. */
    @Test
    fun `a machine missing in a zone that mostly reports ends the wait once it is confirmed gone`() {
        val activated = JobRecord(ClusterFixture.spec("req-1", 4), 0, activated = true, cancelled = false)
        val names = List(5) { "host-00000$it" }
        val fixture = ClusterFixture(registered = names, openJobs = listOf(activated))
        val workers = names.take(4).map { FakeWorker(fixture, it) }
        fun heartbeat(seconds: Int, senders: List<FakeWorker>) = repeat(seconds) {
            fixture.advance(1_000_000)
            senders.forEach { it.heartbeat() }
        }
        heartbeat(5, workers.take(2))
        assertEquals(emptySet<String>(), fixture.cluster.failover.zonesMostlyReporting(), "a zone may be cut off")
        heartbeat(2, workers)
        assertEquals(setOf("z"), fixture.cluster.failover.zonesMostlyReporting())
        assertEquals(listOf("host-000004"), fixture.cluster.failover.missingMachines(fixture.nowMicros).map { it.name })
        assertFalse(fixture.cluster.isReconciled)
        fixture.cluster.markTerminated(listOf("host-000004"))
        heartbeat(2, workers)
        assertTrue(fixture.cluster.isReconciled)
        assertEquals(4, workers.sumOf { it.tasks.size })
    }

    /** One of its tasks is reported as done, another may still be on a machine that has sent the new leader no heartbeat. */
    @Test
    fun `an unconfirmed task of a gang that is done counts against the quota limit of its team`() {
        val open = JobRecord(ClusterFixture.spec("req-1", 2, gang = true, vcpus = 6.0), 0, activated = true, cancelled = false)
        val team = """{ name = "team", cpus = 8, cpus_max = 8, gpus = 0, gpus_max = 0 }"""
        val fixture = ClusterFixture(teams = team, registered = listOf("host-000001", "host-000002"), openJobs = listOf(open))
        val worker = FakeWorker(fixture, "host-000001")
        worker.tasks[TaskId("req-1", 0) to 1L] = TaskState.ENDED
        worker.heartbeatFor(4)
        assertEquals(emptySet<String>(), fixture.cluster.jobs.keys, "done")
        fixture.submit("req-2", 8)
        worker.heartbeatFor(4)
        assertTrue(worker.tasks.size <= 2, "6 of 8 vcpus may still be used: ${worker.tasks.keys}")
        worker.heartbeatFor(40)
        assertEquals(8, worker.tasks.size, "the lease of the missing machine has expired")
    }
}
