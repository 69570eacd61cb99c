package linemast.state

import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import kotlin.random.Random

class TokenBucketTest {
    @Test
    fun `never more than the burst and the rate, and vital calls find a reserve`() {
        val seed = 5
        println("seed $seed")
        val random = Random(seed)
        repeat(50) {
            val rate = random.nextInt(2, 50).toDouble()
            val bucket = TokenBucket(rate, burst = rate, reserve = rate / 4)
            var taken = 0
            var now = 1_000L
            val end = now + 20_000_000
            while (now < end) {
                if (bucket.tryTake(1, vital = random.nextInt(5) == 0, now)) taken++
                now += random.nextLong(20_000)
            }
            assertTrue(taken <= rate * 20 + rate + 1, "$taken at rate $rate")
            while (bucket.tryTake(1, vital = false, now)) Unit
            assertTrue(bucket.tryTake(1, vital = true, now))
            val wait = bucket.waitMicros(1, vital = false, now)
            assertTrue(bucket.tryTake(1, vital = false, now + wait))
        }
    }
}
