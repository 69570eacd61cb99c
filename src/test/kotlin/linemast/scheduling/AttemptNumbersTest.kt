package linemast.scheduling

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import kotlin.random.Random

/** Numbers that have left are never given out again, and those that have not are not wasted. */
class AttemptNumbersTest {
    @Test
    fun `generated passes never use a number twice`() {
        val seed = 5
        println("seed $seed")
        val random = Random(seed)
        val numbers = AttemptNumbers(fencingToken = 7)
        val used = HashSet<Long>()
        repeat(2_000) {
            numbers.forgetUnused()
            val chosen = List(random.nextInt(50)) { numbers.next() }
            for (attempt in chosen) {
                if (random.nextInt(10) > 0) continue
                numbers.use(attempt)
                assertTrue(used.add(attempt), "attempt $attempt was used twice")
            }
        }
        assertTrue(used.size > 4_000)
        // 100,000 choices, of which a tenth has left: the gaps below the latest one of a pass are all that is lost.
        assertTrue(used.max() - 7 * AttemptNumbers.PER_TOKEN < 50_000, "the latest is ${used.max()}")
    }

    @Test
    fun `passes that send nothing use up nothing`() {
        val numbers = AttemptNumbers(fencingToken = 7)
        val first = numbers.next()
        repeat(100_000) {
            numbers.forgetUnused()
            assertEquals(first, numbers.next())
        }
    }

    @Test
    fun `the end of the numbers shows before a number of the next token is reached`() {
        val numbers = AttemptNumbers(fencingToken = 7, most = 1_600)
        val last = (1..1_499).map { numbers.next() }.last()
        numbers.use(last)
        assertFalse(numbers.isNearlyExhausted)
        numbers.use(numbers.next())
        assertTrue(numbers.isNearlyExhausted)
    }
}
