package linemast.leadership

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import kotlin.random.Random

/** Guards against two controllers that act as leader at the same time, and against a degraded mode that lasts too long. */
class LeaderLeaseTest {
    private val leaderLeaseMicros = 4_000_000L
    private val lease = 11_000_000L
    private val cancel = 36_000_000L
    private val degradedModeMicros = LeaderLease.degradedModeMicros(lease, cancel)

    /** Renewals at generated times with generated delays, on a clock that is up to 0.05% slower than the store's. */
    @ParameterizedTest
    @ValueSource(ints = [17])
    fun `a leader lease always expires before the store lets another controller become the leader`(seed: Int) {
        val random = Random(seed)
        repeat(300) {
            val slow = 1.0 - 0.0005 * random.nextDouble()
            val toOwnClock = { storeMicros: Long -> (storeMicros * slow).toLong() }
            var now = 0L
            val leaderLease = LeaderLease(1, 1, leaderLeaseMicros, degradedModeMicros, toOwnClock(now))
            now += random.nextLong(200_000)
            var leaseEnds = now + leaderLeaseMicros
            while (now < leaseEnds) {
                if (random.nextInt(4) == 0) {
                    val sent = toOwnClock(now)
                    now += random.nextLong(400_000)
                    if (now >= leaseEnds) break
                    leaseEnds = now + leaderLeaseMicros
                    now += random.nextLong(400_000)
                    leaderLease.recordRenewal(sent)
                }
                now += random.nextLong(900_000)
            }
            assertFalse(leaderLease.mayIssueCommands(toOwnClock(maxOf(now, leaseEnds))))
        }
    }

    @Test
    fun `degraded mode plus a worker's lease ends with a margin before the tasks of a cancelled job have to end`() {
        for ((leaseS, cancelS) in listOf(11 to 36, 16 to 41, 5 to 60, 10 to 12)) {
            val degradedModeMicros = LeaderLease.degradedModeMicros(leaseS * 1_000_000L, cancelS * 1_000_000L)
            assertTrue(degradedModeMicros >= 0)
            assertTrue(degradedModeMicros == 0L || degradedModeMicros + leaseS * 1_000_000L + 5_000_000L < cancelS * 1_000_000L)
        }
    }

    @Test
    fun `a higher fencing token ends the permission to issue commands and degraded mode at once`() {
        val leaderLease = LeaderLease(3, 1, leaderLeaseMicros, degradedModeMicros, 0)
        val view = LeaderView()
        view.ownLease = leaderLease
        view.observeFencingToken(3)
        assertTrue(leaderLease.mayIssueCommands(1_000_000))
        assertTrue(leaderLease.mayRespondToHeartbeats(leaderLeaseMicros + degradedModeMicros - 500_000))
        view.observeFencingToken(4)
        assertEquals(listOf(false, false), listOf(leaderLease.mayIssueCommands(1), leaderLease.mayRespondToHeartbeats(1)))
    }
}
