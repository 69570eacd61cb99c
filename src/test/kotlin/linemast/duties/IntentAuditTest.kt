package linemast.duties

import linemast.cloud.ScaleOutRequest
import linemast.settings.Duty
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** What the audit of the stored intents finds, and what the reports say of it. */
class IntentAuditTest {
    private val leadership = LeadershipRecord("mast-1", leaderToken = 7, highestToken = 7)

    private fun returned(token: Long, number: Long, vararg names: String) =
        Intent(IntentId(token, number), CloudAction.ScaleIn(names.toList(), Duty.SCALE_IN), 0)

    private fun rented(token: Long, number: Long, requestId: String) =
        Intent(IntentId(token, number), CloudAction.ScaleOut(ScaleOutRequest(requestId, "type", "zone", false, 1)), 0)

    private fun check(vararg intents: Intent, wallMicros: Long = 0) =
        IntentAudit(30_000_000).check(intents.toList(), leadership, wallMicros).map { it.severity to it.message }

    private fun violation(message: String) = listOf(AuditFinding.Severity.VIOLATION to message)

    @Test
    fun `what leaders did by the rules has no findings`() {
        val closed = returned(5, 1, "host-1").closed(IntentState.CARRIED_OUT, 1, 7)
        assertEquals(emptyList<Any>(), check(closed, returned(7, 1, "host-1"), rented(7, 2, "r-7-1"), returned(6, 3, "host-2")))
    }

    @Test
    fun `each breach is found`() {
        assertEquals(violation("its fencing token was never given out"), check(returned(8, 1, "host-1")))
        val early = returned(5, 1, "host-1").closed(IntentState.CARRIED_OUT, 1, 4)
        assertEquals(violation("was closed by a leader before the one that decided it"), check(early))
        val future = returned(5, 1, "host-1").closed(IntentState.CARRIED_OUT, 1, 9)
        assertEquals(violation("was closed under a token that was never given out"), check(future))
        assertEquals(violation("has ended, and nobody closed it"), check(returned(5, 1, "host-1").copy(state = IntentState.REFUSED)))
        assertEquals(violation("asks under another term's request id"), check(rented(7, 1, "r-6-1")))
        assertEquals(violation("is held by 2 slots"), check(returned(7, 1, "host-1"), returned(7, 1, "host-2")))
        assertEquals(violation("repeats the rental request of 7-1"), check(rented(7, 1, "r-7-1"), rented(7, 2, "r-7-1")))
    }

    @Test
    fun `what is left open for long and what is returned twice at a time is a warning`() {
        val old = returned(6, 1, "host-1")
        assertEquals(emptyList<Any>(), check(old, wallMicros = 120_000_000))
        assertEquals(AuditFinding.Severity.WARNING, check(old, wallMicros = 120_000_001).single().first)
        assertEquals(AuditFinding.Severity.WARNING, check(old, returned(7, 2, "host-1")).single().first)
    }

    @Test
    fun `the reports hold every action and finding, and markup in names is text`() {
        val intents = listOf(returned(7, 1, "host-<1>"), rented(6, 1, "r-7-1"))
        val report = IntentReport(intents, leadership, IntentAudit(1).check(intents, leadership, 0))
        assertTrue(report.hasViolations)
        assertTrue("violation: 6-1 asks under another term's request id" in report.text())
        assertTrue("2 actions, 2 open, 1 findings" in report.text())
        assertTrue("host-&lt;1&gt;" in report.html())
        assertFalse("host-<1>" in report.html())
        assertTrue("mast-1 holds the duties with fencing token 7" in report.html())
    }
}
