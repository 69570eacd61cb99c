package linemast.duties

import linemast.cloud.ScaleOutRequest
import linemast.settings.Duty
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** The findings of the audit of stored intents, and the reports on them. */
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
    fun `each broken rule is a violation`() {
        assertEquals(violation("its fencing token was never given out"), check(scaleIn(8, 1, "host-1")))
        val early = scaleIn(5, 1, "host-1").closed(IntentState.CARRIED_OUT, 1, 4)
        assertEquals(violation("was closed by a leader before the one that decided it"), check(early))
        val future = scaleIn(5, 1, "host-1").closed(IntentState.CARRIED_OUT, 1, 9)
        assertEquals(violation("was closed under a token that was never given out"), check(future))
        assertEquals(violation("has ended, and nobody closed it"), check(scaleIn(5, 1, "host-1").copy(state = IntentState.REFUSED)))
        assertEquals(violation("asks under another term's request id"), check(scaleOut(7, 1, "r-6-1")))
        assertEquals(violation("is held by 2 slots"), check(scaleIn(7, 1, "host-1"), scaleIn(7, 1, "host-2")))
        assertEquals(violation("repeats the rental request of 7-1"), check(scaleOut(7, 1, "r-7-1"), scaleOut(7, 2, "r-7-1")))
    }

    @Test
    fun `an intent left open for long and a machine in two open scale-ins are warnings`() {
        val old = scaleIn(6, 1, "host-1")
        assertEquals(emptyList<Any>(), check(old, wallMicros = 120_000_000))
        assertEquals(AuditFinding.Severity.WARNING, check(old, wallMicros = 120_000_001).single().first)
        assertEquals(AuditFinding.Severity.WARNING, check(old, scaleIn(7, 2, "host-1")).single().first)
    }

    @Test
    fun `both reports contain every action and finding, and escape markup in names`() {
        val intents = listOf(scaleIn(7, 1, "host-<1>"), scaleOut(6, 1, "r-7-1"))
        val report = IntentReport(intents, leadership, IntentAudit(1).check(intents, leadership, 0))
        assertTrue(report.hasViolations)
        assertTrue("violation: 6-1 asks under another term's request id" in report.toText())
        assertTrue("2 actions, 2 open, 1 findings" in report.toText())
        assertTrue("host-&lt;1&gt;" in report.toHtml())
        assertFalse("host-<1>" in report.toHtml())
        assertTrue("mast-1 holds the duties with fencing token 7" in report.toHtml())
    }
}
