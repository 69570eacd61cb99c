package linemast.scheduling

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import kotlin.random.Random

/** Numbers that have left are never given out again, and those that have not are not wasted. */
class AttemptNumbersTest {
    @ParameterizedTest
    @ValueSource(ints = [5])
    fun `a number that has left in a command is never given out again`(seed: Int) {
        val random = Random(seed)
        val numbers = AttemptNumbers(fencingToken = 7)
        val used = HashSet<Long>()
        repeat(2_000) {
            numbers.releaseUnused()
            val chosen = List(random.nextInt(50)) { numbers.next() }
            for (attempt in chosen) {
                if (random.nextInt(10) > 0) continue
                numbers.markUsed(attempt)
                assertTrue(used.add(attempt), "attempt $attempt was used twice")
            }
        }
        assertTrue(used.size > 4_000)
        // 100,000 choices, of which a tenth has left: the gaps below the latest one of a pass are all that is lost.
        assertTrue(used.max() - 7 * AttemptNumbers.PER_TOKEN < 50_000, "the latest is ${used.max()}")
    }

    @Test
    fun `scheduling cycles that send nothing consume no numbers`() {
        val numbers = AttemptNumbers(fencingToken = 7)
        val first = numbers.next()
        repeat(100_000) {
            numbers.releaseUnused()
            assertEquals(first, numbers.next())
        }
    }

    @Test
    fun `numbers are reported as nearly exhausted before they reach those of the next token`() {
        val numbers = AttemptNumbers(fencingToken = 7, max = 1_600)
        val last = (1..1_499).map { numbers.next() }.last()
        numbers.markUsed(last)
        assertFalse(numbers.isNearlyExhausted)
        numbers.markUsed(numbers.next())
        assertTrue(numbers.isNearlyExhausted)
    }
}
