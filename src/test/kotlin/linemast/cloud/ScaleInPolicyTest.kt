package linemast.cloud

import linemast.domain.Job
import linemast.domain.JobRecord
import linemast.domain.Machine
import linemast.domain.MachineHealth
import linemast.domain.MachineType
import linemast.domain.Placement
import linemast.domain.TaskId
import linemast.settings.Policy
import linemast.testSettings
import linemast.testSpec
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Test

/** Which idle and which faulty machines are scaled in, and when. */
class ScaleInPolicyTest {
    private val type = MachineType("small", 8.0, 0.0, 16.0, 50.0, 0.2, 0.42, 0.1, 25_000_000, listOf("z"))
    private val policy = ScaleInPolicy(testSettings().workers, Policy())

    private fun reasonAfter(idleMicros: Long, isBaseline: Boolean, demandCeased: Boolean, isNeeded: Boolean = false): ScaleInReason? {
        val nowMicros = 600_000_000L
        val worker = Machine("host-000001", type, "z", false)
        worker.heartbeats.lastMicros = nowMicros - 500_000
        worker.idleSinceMicros = nowMicros - idleMicros
        val listed = CloudMachine(worker.name, type, "z", false, createdMicros = 0)
        val conditions = ScaleInPolicy.Conditions({ isNeeded }, demandCeased, setOf("z"), nowMicros)
        return policy.reason(listed, worker, isBaseline, conditions)
    }

    @Test
    fun `an idle machine beyond the baseline is scaled in only after its idle time`() {
        assertNull(reasonAfter(20_000_000, isBaseline = false, demandCeased = false))
        assertEquals(ScaleInReason.IDLE, reasonAfter(26_000_000, isBaseline = false, demandCeased = false))
    }

    @Test
    fun `once demand has ceased an idle machine is scaled in as soon as no running task can be missing from its heartbeats`() {
        for (isBaseline in listOf(false, true)) {
            assertNull(reasonAfter(4_000_000, isBaseline, demandCeased = true))
            assertEquals(
                if (isBaseline) ScaleInReason.BASELINE_IDLE else ScaleInReason.IDLE,
                reasonAfter(5_000_000, isBaseline, demandCeased = true),
            )
            assertNull(reasonAfter(20_000_000, isBaseline, demandCeased = true, isNeeded = true))
        }
    }

    @Test
    fun `an idle baseline machine is kept while demand has not ceased`() {
        assertNull(reasonAfter(600_000_000, isBaseline = true, demandCeased = false))
    }

    /** Returns a worker whose latest quarantine is number [count], with a heartbeat just sent at the returned time. */
    private fun quarantinedWorker(count: Int): Pair<Machine, Long> {
        val worker = Machine("host-000001", type, "z", false)
        var nowMicros = 1_000_000L
        worker.health.recordFailure(job("req-000001"), startedMicros = nowMicros, nowMicros)
        repeat(count) { number ->
            nowMicros += 61_000_000
            worker.health.recordFailure(job("req-10000$number"), startedMicros = nowMicros, nowMicros)
            worker.health.update(nowMicros)
        }
        assertEquals(MachineHealth.State.QUARANTINED, worker.health.state)
        assertEquals(count, worker.health.quarantineCount)
        worker.heartbeats.lastMicros = nowMicros
        worker.idleSinceMicros = nowMicros
        return worker to nowMicros
    }

    private fun job(id: String) =
        Job(JobRecord(testSpec(id, "crew" to "team"), 0, activated = true, cancelled = false), revision = 1, inherited = false)

    private fun reasonInQuarantine(count: Int, isBaseline: Boolean, hasTask: Boolean = false): ScaleInReason? {
        val (worker, nowMicros) = quarantinedWorker(count)
        if (hasTask) worker.add(Placement(worker, TaskId("req-200000", 0), 1, job("req-200000")))
        val listed = CloudMachine(worker.name, type, "z", false, createdMicros = 0)
        return policy.reason(listed, worker, isBaseline, ScaleInPolicy.Conditions({ true }, false, setOf("z"), nowMicros))
    }

    @Test
    fun `a machine is scaled in as faulty once it fails again after a quarantine, a baseline machine after three`() {
        assertNull(reasonInQuarantine(1, isBaseline = false))
        assertEquals(ScaleInReason.QUARANTINED, reasonInQuarantine(2, isBaseline = false))
        assertNull(reasonInQuarantine(3, isBaseline = true))
        assertEquals(ScaleInReason.QUARANTINED, reasonInQuarantine(4, isBaseline = true))
    }

    @Test
    fun `a quarantined machine is not scaled in while it holds a task whose completion could show that it works`() {
        assertNull(reasonInQuarantine(2, isBaseline = false, hasTask = true))
    }
}
