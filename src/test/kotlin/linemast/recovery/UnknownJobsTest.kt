package linemast.recovery

import linemast.domain.JobOutcome
import linemast.domain.TaskAttempt
import linemast.domain.TaskId
import linemast.serialization.MalformedException
import linemast.settings.RecoverySettings
import linemast.settings.Toml
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertThrows
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import java.nio.file.Path
import kotlin.random.Random

/**
 * Guards against tasks that are stopped, or results that are discarded, before the store has confirmed that their job has
 * ended or has no record, or the lookups have timed out. Uses generated lookup results; also checks the rate limit and the
 * counts of the reconciliation.
 */
class UnknownJobsTest {
    @Test
    fun `the tasks of an unknown job are discarded only if it has ended, was absent in two lookups, or was undecided for too long`() {
        val random = Random(61)
        repeat(500) { round ->
            val jobs = UnknownJobs(confirmationDelayMicros = 1_000_000, timeoutMicros = 3_000_000)
            val truth = listOf(
                OutcomeLookup.Absent,
                OutcomeLookup.Found(JobOutcome.OPEN),
                OutcomeLookup.Found(JobOutcome.DONE),
            ).random(random)
            var now = 0L
            val absences = ArrayList<Long>()
            var isFound = false
            while (now < 6_000_000) {
                val state = jobs.observe("req-1", now)
                when (state) {
                    UnknownJobState.UNDECIDED -> assertTrue(now <= 3_000_000)
                    UnknownJobState.ENDED -> assertTrue(isFound && truth == OutcomeLookup.Found(JobOutcome.DONE), "round $round")
                    UnknownJobState.INCONSISTENT -> assertTrue(isFound && truth == OutcomeLookup.Found(JobOutcome.OPEN), "round $round")
                    UnknownJobState.UNRECORDED -> assertTrue(absences.last() - absences.first() >= 1_000_000, "round $round")
                    UnknownJobState.UNKNOWN -> assertTrue(now > 3_000_000)
                }
                for (job in jobs.takeDueLookups(now)) {
                    assertTrue(jobs.takeDueLookups(now).isEmpty(), "a job has one lookup at a time")
                    now += random.nextLong(200_000)
                    val lookup = if (random.nextInt(3) == 0) OutcomeLookup.Failed else truth
                    if (lookup == OutcomeLookup.Absent) absences += now
                    if (lookup is OutcomeLookup.Found) isFound = true
                    jobs.recordLookup(job, lookup, now)
                }
                now += random.nextLong(1, 300_000)
            }
            assertFalse(jobs.hasUndecided)
        }
    }

    @Test
    fun `a later lookup does not change a decided state`() {
        val jobs = UnknownJobs(1, 10)
        jobs.observe("req-1", 0)
        jobs.recordLookup("req-1", OutcomeLookup.Found(JobOutcome.OPEN), 1)
        jobs.recordLookup("req-1", OutcomeLookup.Absent, 2)
        jobs.recordLookup("req-1", OutcomeLookup.Absent, 5)
        assertEquals(UnknownJobState.INCONSISTENT, jobs.observe("req-1", 1_000))
    }

    @Test
    fun `commands are rate limited until the reconciliation is complete, and each unknown task is counted once`() {
        val reconciliation = StateReconciliation(RecoverySettings(commandsPerSecond = 10.0))
        val sent = (0L until 5_000_000L step 10_000).count { reconciliation.maySendCommand(it) }
        assertTrue(sent in 50..61, "$sent commands permitted in 5 s")
        repeat(3) { reconciliation.countUnknown(TaskAttempt(TaskId("req-1", 0), 1)) }
        assertEquals(1, reconciliation.statistics.countOf(ReconciliationStatistics.Difference.UNKNOWN))
        assertFalse(reconciliation.mayDiscard("req-1", 0))
        assertFalse(reconciliation.tryComplete(isReconciled = true, 5_000_000), "a job is undecided")
        reconciliation.unknownJobs.takeDueLookups(0)
        reconciliation.unknownJobs.recordLookup("req-1", OutcomeLookup.Found(JobOutcome.CANCELLED), 1)
        assertTrue(reconciliation.mayDiscard("req-1", 1))
        assertFalse(reconciliation.tryComplete(isReconciled = false, 6_000_000))
        assertFalse(reconciliation.tryComplete(isReconciled = true, 6_000_000), "lost tasks had no time to start again")
        assertFalse((1..100).all { reconciliation.maySendCommand(8_000_000) })
        assertFalse(reconciliation.tryComplete(isReconciled = true, 10_000_000), "the rate limit held a command back 2 s ago")
        assertTrue(reconciliation.tryComplete(isReconciled = true, 11_000_000))
        assertEquals(100, (1..100).count { reconciliation.maySendCommand(11_000_000) })
    }

    @Test
    fun `settings out of range are rejected, and the file in the deploy directory holds the defaults`() {
        val shipped = RecoverySettings.read(Path.of("deploy/recovery.toml"))
        assertEquals(
            RecoverySettings().commandsPerSecond to RecoverySettings().confirmationDelayMicros,
            shipped.commandsPerSecond to shipped.confirmationDelayMicros,
        )
        for (wrong in listOf("orders_per_s = 0", "confirm_s = 2.1", "orders = 1")) {
            assertThrows(MalformedException::class.java, { RecoverySettings.from(Toml.parse(wrong)) }, wrong)
        }
    }
}
