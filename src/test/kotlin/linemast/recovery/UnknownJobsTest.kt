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

/** What becomes of jobs that the leader does not know, under generated answers of the store; pacing and counts. */
class UnknownJobsTest {
    @Test
    fun `a job is discarded only once it is over, absent twice, or undecided for too long`() {
        val random = Random(61)
        repeat(500) { round ->
            val jobs = UnknownJobs(confirmMicros = 1_000_000, patienceMicros = 3_000_000)
            val truth = listOf(
                OutcomeLookup.Absent,
                OutcomeLookup.Found(JobOutcome.OPEN),
                OutcomeLookup.Found(JobOutcome.DONE),
            ).random(random)
            var now = 0L
            val absences = ArrayList<Long>()
            var answered = false
            while (now < 6_000_000) {
                val state = jobs.reported("req-1", now)
                when (state) {
                    UnknownJobState.UNDECIDED -> assertTrue(now <= 3_000_000)
                    UnknownJobState.OVER -> assertTrue(answered && truth == OutcomeLookup.Found(JobOutcome.DONE), "round $round")
                    UnknownJobState.INCONSISTENT -> assertTrue(answered && truth == OutcomeLookup.Found(JobOutcome.OPEN), "round $round")
                    UnknownJobState.UNRECORDED -> assertTrue(absences.last() - absences.first() >= 1_000_000, "round $round")
                    UnknownJobState.UNKNOWN -> assertTrue(now > 3_000_000)
                }
                for (job in jobs.toAsk(now)) {
                    assertTrue(jobs.toAsk(now).isEmpty(), "asked for once at a time")
                    now += random.nextLong(200_000)
                    val answer = if (random.nextInt(3) == 0) OutcomeLookup.NoAnswer else truth
                    if (answer == OutcomeLookup.Absent) absences += now
                    if (answer is OutcomeLookup.Found) answered = true
                    jobs.answered(job, answer, now)
                }
                now += random.nextLong(1, 300_000)
            }
            assertFalse(jobs.hasUndecided)
        }
    }

    @Test
    fun `what was decided stays so`() {
        val jobs = UnknownJobs(1, 10)
        jobs.reported("req-1", 0)
        jobs.answered("req-1", OutcomeLookup.Found(JobOutcome.OPEN), 1)
        jobs.answered("req-1", OutcomeLookup.Absent, 2)
        jobs.answered("req-1", OutcomeLookup.Absent, 5)
        assertEquals(UnknownJobState.INCONSISTENT, jobs.reported("req-1", 1_000))
    }

    @Test
    fun `orders are paced until all is accounted for, and each unknown task is counted once`() {
        val recovery = Recovery(RecoverySettings(ordersPerSecond = 10.0))
        val sent = (0L until 5_000_000L step 10_000).count { recovery.mayOrder(it) }
        assertTrue(sent in 50..61, "$sent in 5 s")
        repeat(3) { recovery.foundUnknown(TaskAttempt(TaskId("req-1", 0), 1)) }
        assertEquals(1, recovery.ledger.count(RecoveryStatistics.Difference.UNKNOWN))
        assertFalse(recovery.mayDiscard("req-1", 0))
        assertFalse(recovery.step(isReconciled = true, 5_000_000), "a job is undecided")
        recovery.unknownJobs.toAsk(0)
        recovery.unknownJobs.answered("req-1", OutcomeLookup.Found(JobOutcome.CANCELLED), 1)
        assertTrue(recovery.mayDiscard("req-1", 1))
        assertFalse(recovery.step(isReconciled = false, 6_000_000))
        assertFalse(recovery.step(isReconciled = true, 6_000_000), "what has to be started anew is still to come")
        assertFalse((1..100).all { recovery.mayOrder(8_000_000) })
        assertFalse(recovery.step(isReconciled = true, 10_000_000), "orders were held back 2 s ago")
        assertTrue(recovery.step(isReconciled = true, 11_000_000))
        assertEquals(100, (1..100).count { recovery.mayOrder(11_000_000) })
    }

    @Test
    fun `settings are checked, and the file in deploy holds the defaults`() {
        val shipped = RecoverySettings.read(Path.of("deploy/recovery.toml"))
        assertEquals(
            RecoverySettings().ordersPerSecond to RecoverySettings().confirmMicros,
            shipped.ordersPerSecond to shipped.confirmMicros,
        )
        for (wrong in listOf("orders_per_s = 0", "confirm_s = 2.1", "orders = 1")) {
            assertThrows(MalformedException::class.java, { RecoverySettings.from(Toml.parse(wrong)) }, wrong)
        }
    }
}
