package linemast.cloud

import linemast.domain.Machine
import linemast.domain.MachineType
import linemast.settings.Policy
import linemast.testSettings
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Test

/** Which idle machines are scaled in, and when. */
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
}
