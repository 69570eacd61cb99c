package linemast.scheduling

import linemast.domain.JobRecord
import linemast.domain.TaskId
import linemast.domain.TaskState
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** Guards against a task that runs twice after a failover: a previous leader started it, and no worker has reported it to the new one. */
class FailoverReconciliationTest {
    /** A delayed heartbeat that was sent to a previous leader does not prove that the worker knows the new leader. */
    @Test
    fun `after a failover activated jobs wait for machines that may hold their tasks, and a delayed heartbeat does not end the wait`() {
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
        assertEquals(0, reporting.tasks.size, "no task starts while a lease that was renewed at the end of degraded mode may be valid")
        reporting.heartbeatFor(12)
        assertEquals(4, reporting.tasks.size)
    }

    /** Spot machines are often preempted without notice. Without this rule each failover waits until their leases have expired. */
    @Test
    fun `the wait for a machine that is missing in a reporting zone ends once the cloud confirms its termination`() {
        val activated = JobRecord(ClusterFixture.spec("req-1", 4), 0, activated = true, cancelled = false)
        val names = List(5) { "host-00000$it" }
        val fixture = ClusterFixture(registered = names, openJobs = listOf(activated))
        val workers = names.take(4).map { FakeWorker(fixture, it) }
        fun heartbeat(seconds: Int, senders: List<FakeWorker>) = repeat(seconds) {
            fixture.advance(1_000_000)
            senders.forEach { it.heartbeat() }
        }
        heartbeat(5, workers.take(2))
        assertEquals(emptySet<String>(), fixture.cluster.failover.zonesMostlyReporting(), "the zone may be partitioned")
        heartbeat(2, workers)
        assertEquals(setOf("z"), fixture.cluster.failover.zonesMostlyReporting())
        assertEquals(listOf("host-000004"), fixture.cluster.failover.missingMachines(fixture.nowMicros).map { it.name })
        assertFalse(fixture.cluster.isReconciled)
        fixture.cluster.markTerminated(listOf("host-000004"))
        heartbeat(2, workers)
        assertTrue(fixture.cluster.isReconciled)
        assertEquals(4, workers.sumOf { it.tasks.size })
    }

    /** One task of the gang is reported as completed; another may be on a machine that has sent the new leader no heartbeat. */
    @Test
    fun `an unconfirmed task of a finished gang counts against the quota limit of its team`() {
        val open = JobRecord(ClusterFixture.spec("req-1", 2, gang = true, vcpus = 6.0), 0, activated = true, cancelled = false)
        val team = """{ name = "team", cpus = 8, cpus_max = 8, gpus = 0, gpus_max = 0 }"""
        val fixture = ClusterFixture(teams = team, registered = listOf("host-000001", "host-000002"), openJobs = listOf(open))
        val worker = FakeWorker(fixture, "host-000001")
        worker.tasks[TaskId("req-1", 0) to 1L] = TaskState.ENDED
        worker.heartbeatFor(4)
        assertEquals(emptySet<String>(), fixture.cluster.jobs.keys, "a gang is finished by one completed task")
        fixture.submit("req-2", 8)
        worker.heartbeatFor(4)
        assertTrue(worker.tasks.size <= 2, "6 of 8 vcpus may still be used by the unconfirmed task: ${worker.tasks.keys}")
        worker.heartbeatFor(40)
        assertEquals(8, worker.tasks.size, "the quota limit is available again once the lease of the missing machine has expired")
    }
}
