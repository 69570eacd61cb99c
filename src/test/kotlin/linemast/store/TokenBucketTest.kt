package linemast.store

import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import kotlin.random.Random

/** Guards against rates above the limit, and against calls of low priority that use up the tokens of urgent calls. */
class TokenBucketTest {
    @ParameterizedTest
    @ValueSource(ints = [5])
    fun `a bucket grants no more than its capacity and rate, and keeps tokens reserved for critical calls`(seed: Int) {
        val random = Random(seed)
        repeat(50) {
            val rate = random.nextInt(10, 50).toDouble()
            val bucket = TokenBucket(rate)
            var taken = 0
            var now = 1_000L
            val end = now + 20_000_000
            while (now < end) {
                if (bucket.tryTake(1, RequestPriority.entries.random(random), now)) taken++
                now += random.nextLong(20_000)
            }
            assertTrue(taken <= rate * 20 + rate + 1, "$taken at rate $rate")
            while (bucket.tryTake(1, RequestPriority.NORMAL, now)) Unit
            assertTrue(bucket.tryTake(1, RequestPriority.CRITICAL, now))
            val wait = bucket.waitMicros(1, RequestPriority.NORMAL, now)
            assertTrue(bucket.tryTake(1, RequestPriority.NORMAL, now + wait))
        }
    }

    /** Writes of the progress of running jobs can use up the rate limit, so that submissions are refused without high load. */
    @Test
    fun `background calls leave tokens for submissions`() {
        val bucket = TokenBucket(20.0)
        while (bucket.tryTake(1, RequestPriority.BACKGROUND, 1)) Unit
        repeat(8) { assertTrue(bucket.tryTake(1, RequestPriority.HIGH, 1)) }
        assertFalse(bucket.tryTake(1, RequestPriority.BACKGROUND, 1))
    }
}
