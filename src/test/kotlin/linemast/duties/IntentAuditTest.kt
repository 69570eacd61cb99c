package linemast.duties

import linemast.cloud.ScaleOutRequest
import linemast.settings.Duty
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** Guards against an audit that misses a violation in the stored intents, and against reports that leave out a finding. */
class IntentAuditTest {
    private val leadership = LeadershipSnapshot("mast-1", leaderToken = 7, highestToken = 7)

    private fun scaleIn(token: Long, number: Long, vararg names: String) =
        Intent(IntentId(token, number), CloudAction.ScaleIn(names.toList(), Duty.SCALE_IN), 0)

    private fun scaleOut(token: Long, number: Long, requestId: String) =
        Intent(IntentId(token, number), CloudAction.ScaleOut(ScaleOutRequest(requestId, "type", "zone", false, 1)), 0)

    private fun check(vararg intents: Intent, wallMicros: Long = 0) =
        IntentAudit(30_000_000).check(intents.toList(), leadership, wallMicros).map { it.severity to it.message }

    private fun violation(message: String) = listOf(AuditFinding.Severity.VIOLATION to message)

    @Test
    fun `intents that follow the rules have no findings`() {
        val closed = scaleIn(5, 1, "host-1").closed(IntentState.CARRIED_OUT, 1, 7)
        assertEquals(emptyList<Any>(), check(closed, scaleIn(7, 1, "host-1"), scaleOut(7, 2, "r-7-1"), scaleIn(6, 3, "host-2")))
    }

    @Test
    fun `an intent that violates a rule has a finding of severity violation`() {
        assertEquals(violation("has a fencing token that was never issued"), check(scaleIn(8, 1, "host-1")))
        val early = scaleIn(5, 1, "host-1").closed(IntentState.CARRIED_OUT, 1, 4)
        assertEquals(violation("was closed by an earlier leader than the one that decided it"), check(early))
        val future = scaleIn(5, 1, "host-1").closed(IntentState.CARRIED_OUT, 1, 9)
        assertEquals(violation("was closed with a fencing token that was never issued"), check(future))
        assertEquals(
            violation("has a final state but no fencing token of a leader that closed it"),
            check(scaleIn(5, 1, "host-1").copy(state = IntentState.REFUSED)),
        )
        assertEquals(violation("has a request id of another term"), check(scaleOut(7, 1, "r-6-1")))
        assertEquals(violation("is stored in 2 slots"), check(scaleIn(7, 1, "host-1"), scaleIn(7, 1, "host-2")))
        assertEquals(violation("has the same scale-out request id as 7-1"), check(scaleOut(7, 1, "r-7-1"), scaleOut(7, 2, "r-7-1")))
    }

    @Test
    fun `an overdue open intent of a previous leader and a machine in two open scale-ins are warnings`() {
        val old = scaleIn(6, 1, "host-1")
        assertEquals(emptyList<Any>(), check(old, wallMicros = 120_000_000))
        assertEquals(AuditFinding.Severity.WARNING, check(old, wallMicros = 120_000_001).single().first)
        assertEquals(AuditFinding.Severity.WARNING, check(old, scaleIn(7, 2, "host-1")).single().first)
    }

    @Test
    fun `both reports contain every action and finding, and the HTML report escapes markup in names`() {
        val intents = listOf(scaleIn(7, 1, "host-<1>"), scaleOut(6, 1, "r-7-1"))
        val report = IntentReport(intents, leadership, IntentAudit(1).check(intents, leadership, 0))
        assertTrue(report.hasViolations)
        assertTrue("violation: 6-1 has a request id of another term" in report.toText())
        assertTrue("2 actions, 2 open, 1 findings" in report.toText())
        assertTrue("host-&lt;1&gt;" in report.toHtml())
        assertFalse("host-<1>" in report.toHtml())
        assertTrue("mast-1 leads with fencing token 7" in report.toHtml())
    }
}
