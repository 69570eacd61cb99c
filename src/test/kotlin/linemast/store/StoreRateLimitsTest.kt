package linemast.store

import linemast.settings.StoreLimits
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** Guards against controllers that together exceed the rate limits of the key-value store, before and after the limits are lowered. */
class StoreRateLimitsTest {
    private val next = StoreLimits(rps = 60.0, writeRps = 20.0, valueBytes = 2_048, txnOps = 5)
    private val limits = StoreLimits(rps = 90.0, writeRps = 40.0, valueBytes = 16_384, txnOps = 16, next = next)

    @Test
    fun `three controllers together stay within the rate limits before and after a refusal`() {
        val rates = List(3) { StoreRateLimits(limits, 3) }
        rates[1].isLeader = true
        assertTrue(rates.sumOf { it.writesPerSecond } <= 40.0 && rates.sumOf { it.requestsPerSecond } <= 90.0)
        rates.forEach { assertTrue(it.tightenAfterRefusal(isCommit = true)) }
        assertTrue(rates.sumOf { it.writesPerSecond } <= 20.0, "the limit of writes is lowered at once")
        assertTrue(rates.sumOf { it.requestsPerSecond } > 60.0, "the limit of requests is lowered only after a refused request")
        rates.forEach { assertTrue(it.tightenAfterRefusal(isCommit = false)) }
        assertTrue(rates.sumOf { it.requestsPerSecond } <= 60.0)
        assertEquals(rates[0].writesPerSecond * 2, rates[1].writesPerSecond, "the leader's share of the writes stays larger")
        rates.forEach { assertFalse(it.tightenAfterRefusal(isCommit = true), "there is no lower limit to apply") }
    }

    @Test
    fun `without next limits a refusal changes nothing`() {
        val rates = StoreRateLimits(StoreLimits(90.0, 40.0, 16_384, 16), 3)
        val before = rates.writesPerSecond to rates.requestsPerSecond
        assertFalse(rates.tightenAfterRefusal(isCommit = true) || rates.tightenAfterRefusal(isCommit = false))
        assertEquals(before, rates.writesPerSecond to rates.requestsPerSecond)
    }

    /**
     * The store lowers its limit of writes without notice during a burst of submissions. Each controller is refused a few
     * times at most before it stays within its new share, and lease renewals, which write nothing, never wait for the burst.
     */
    @Test
    fun `each controller is refused only a few times when the limit is lowered during a burst`() {
        val rates = List(3) { StoreRateLimits(limits, 3).also { rate -> rate.isLeader = it == 0 } }
        val requests = rates.map { TokenBucket(it.requestsPerSecond) }
        val writes = rates.map { TokenBucket(it.writesPerSecond) }
        var storeLimit = TokenBucket(limits.writeRps)
        var refusedWrites = 0
        var lateRefusals = 0
        var accepted = 0
        for (nowMicros in 0L..30_000_000L step 10_000L) {
            if (nowMicros == 10_000_000L) {
                storeLimit = TokenBucket(next.writeRps).also { it.tryTake(next.writeRps.toInt(), RequestPriority.CRITICAL, nowMicros) }
            }
            for (node in 0..2) {
                if (nowMicros % 800_000L == 0L) {
                    assertTrue(requests[node].tryTake(1, RequestPriority.CRITICAL, nowMicros), "a lease renewal has to wait at $nowMicros")
                }
                // There are always more submissions than the rates allow; each writes two keys.
                if (!requests[node].tryTake(1, RequestPriority.HIGH, nowMicros)) continue
                if (!writes[node].tryTake(2, RequestPriority.HIGH, nowMicros)) continue
                if (storeLimit.tryTake(2, RequestPriority.CRITICAL, nowMicros)) {
                    accepted++
                    continue
                }
                refusedWrites++
                if (nowMicros > 13_000_000L) lateRefusals++
                if (rates[node].tightenAfterRefusal(isCommit = true)) writes[node].ratePerSecond = rates[node].writesPerSecond
            }
        }
        println("$accepted submissions accepted, $refusedWrites refused")
        assertTrue(refusedWrites in 1..60, "$refusedWrites refused")
        assertEquals(0, lateRefusals, "calls refused although all three controllers have applied the new limit")
        assertTrue(accepted > 250, "$accepted accepted")
    }
}
