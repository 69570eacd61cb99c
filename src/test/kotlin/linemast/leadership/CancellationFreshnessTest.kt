package linemast.leadership

import linemast.control.HeartbeatResponse
import linemast.domain.Command
import linemast.domain.Job
import linemast.domain.JobRecord
import linemast.domain.TaskId
import linemast.testSpec
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import kotlin.random.Random

/**
 * Guards against tasks of a cancelled job that run longer than a cancellation may take, because a leader that has not read the
 * cancellation yet still renews their leases.
 */
class CancellationFreshnessTest {
    /** Reads succeed, lag or fail, and the cancellation comes at any time; checks the latest response that may miss it. */
    @ParameterizedTest
    @ValueSource(ints = [23])
    fun `a lease renewed by a response that misses a cancellation expires within the time that the cancellation may take`(seed: Int) {
        val random = Random(seed)
        for ((leaseS, cancelS) in listOf(11 to 36, 16 to 41, 13 to 38, 5 to 60, 10 to 12)) {
            val lease = leaseS * 1_000_000L
            val cancel = cancelS * 1_000_000L
            repeat(200) {
                val cancellationFreshness = CancellationFreshness(CancellationFreshness.maxRenewalStalenessMicros(lease, cancel))
                assertEquals(Long.MIN_VALUE, cancellationFreshness.renewalsAllowedUntilMicros, "no renewals before the first read")
                var now = 1_000_000L
                val cancelled = now + random.nextLong(60_000_000)
                while (now < cancelled + cancel) {
                    val sent = now
                    now += random.nextLong(3_000_000)
                    // A read sent before the cancellation was confirmed may miss it; a read sent afterwards never does.
                    if (sent < cancelled && random.nextInt(3) != 0) cancellationFreshness.recordRefresh(sent)
                }
                val slowestLease = lease + LeaderLease.driftMicros(lease)
                assertTrue(cancellationFreshness.renewalsAllowedUntilMicros + slowestLease + 400_000 < cancelled + cancel)
            }
            assertTrue(CancellationFreshness.maxRenewalStalenessMicros(lease, cancel) > 1_000_000, "the settings permit renewals")
        }
    }

    @Test
    fun `whether a response may be sent depends on the freshness at which it was created`() {
        val cancellationFreshness = CancellationFreshness(20_000_000)
        val leaderLease = LeaderLease(3, 1, 4_000_000, 16_000_000, 0)
        cancellationFreshness.recordRefresh(0)
        val empty = HeartbeatResponse(3, emptyList(), emptyList(), cancellationFreshness, leaderLease)
        val start = HeartbeatResponse(3, listOf(startOf(testJob("req-1"))), listOf(testJob("req-1")), cancellationFreshness, leaderLease)
        cancellationFreshness.recordRefresh(30_000_000)
        repeat(10) { leaderLease.recordRenewal(it * 3_000_000L) }
        assertTrue(empty.isValid(19_000_000))
        assertFalse(empty.isValid(20_000_000), "a response does not contain what the leader read after creating it")
        assertTrue(start.isValid(3_500_000))
        assertFalse(start.isValid(4_000_000), "the job of the started task may have been cancelled since")
        leaderLease.end()
        assertFalse(empty.isValid(1))
    }

    /** The leader acknowledges a cancellation as soon as it has applied it, and the user is told, while the response waits. */
    @Test
    fun `a response that starts a task is not sent once the cancellation of its job is applied`() {
        val cancellationFreshness = CancellationFreshness(20_000_000)
        val leaderLease = LeaderLease(3, 1, 4_000_000, 16_000_000, 0)
        cancellationFreshness.recordRefresh(0)
        val jobs = listOf(testJob("req-1"), testJob("req-2"))
        val response = HeartbeatResponse(3, jobs.map(::startOf), jobs, cancellationFreshness, leaderLease)
        assertTrue(response.isValid(1_000))
        jobs.last().cancelled = true
        assertFalse(response.isValid(1_000), "the response still starts a task of the cancelled job")
    }

    private fun testJob(id: String) =
        Job(JobRecord(testSpec(id), acceptedWallMicros = 0, activated = true, cancelled = false), revision = 1, inherited = false)

    private fun startOf(job: Job) = Command.Start(TaskId(job.id, 0), 1)
}
