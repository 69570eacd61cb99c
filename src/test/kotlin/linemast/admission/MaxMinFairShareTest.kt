package linemast.admission

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import kotlin.random.Random

/** Checks the rules of max-min fair shares with generated demands. */
class MaxMinFairShareTest {
    @ParameterizedTest
    @ValueSource(ints = [31])
    fun `no share exceeds its demand, no needed capacity is unused, and a share below its demand is not smaller than another`(seed: Int) {
        val random = Random(seed)
        repeat(500) {
            val demands = (0 until random.nextInt(1, 12)).associateWith { random.nextDouble(0.0, 20.0) }
            val capacity = random.nextDouble(0.0, 80.0)
            val shares = MaxMinFairShare.allocate(capacity, demands)
            assertEquals(minOf(capacity, demands.values.sum()), shares.values.sum(), 1e-9)
            for ((key, share) in shares) {
                assertTrue(share <= demands.getValue(key) + 1e-9)
                if (share < demands.getValue(key) - 1e-9) assertTrue(shares.values.all { it <= share + 1e-9 })
            }
        }
    }

    @Test
    fun `a team does not get a larger share by using many job classes`() {
        val flood = (1..50).associate { Flow("north", "class-$it") to 10.0 }
        val shares = MaxMinFairShare.allocateToFlows(20.0, flood + (Flow("south", "only") to 10.0))
        assertEquals(10.0, shares.getValue(Flow("south", "only")), 1e-9)
        assertEquals(10.0, shares.filterKeys { it.team == "north" }.values.sum(), 1e-9)
    }
}
