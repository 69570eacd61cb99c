package linemast.scheduling

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import kotlin.random.Random

/**
 * Guards against two failures of the attempt numbers: a number that was sent to a worker is reused, so that two attempts look the
 * same; or numbers that were never sent are not reused, so that scheduling cycles exhaust them.
 */
class AttemptNumbersTest {
    @ParameterizedTest
    @ValueSource(ints = [5])
    fun `a number that was sent in a command is never reused`(seed: Int) {
        val random = Random(seed)
        val numbers = AttemptNumbers(fencingToken = 7)
        val used = HashSet<Long>()
        repeat(2_000) {
            numbers.releaseUnused()
            val chosen = List(random.nextInt(50)) { numbers.next() }
            for (attempt in chosen) {
                if (random.nextInt(10) > 0) continue
                numbers.markUsed(attempt)
                assertTrue(used.add(attempt), "attempt number $attempt was reused after it was sent")
            }
        }
        assertTrue(used.size > 4_000)
        // Up to 100,000 numbers are allocated and a tenth of them is sent. Only the unsent numbers below the latest sent one of a cycle
        // are lost.
        assertTrue(used.max() - 7 * AttemptNumbers.PER_TOKEN < 50_000, "unsent numbers are not reused: the latest number is ${used.max()}")
    }

    @Test
    fun `scheduling cycles that send no command consume no numbers`() {
        val numbers = AttemptNumbers(fencingToken = 7)
        val first = numbers.next()
        repeat(100_000) {
            numbers.releaseUnused()
            assertEquals(first, numbers.next())
        }
    }

    @Test
    fun `numbers are reported as nearly exhausted before they reach the numbers of the next fencing token`() {
        val numbers = AttemptNumbers(fencingToken = 7, max = 1_600)
        val last = (1..1_499).map { numbers.next() }.last()
        numbers.markUsed(last)
        assertFalse(numbers.isNearlyExhausted)
        numbers.markUsed(numbers.next())
        assertTrue(numbers.isNearlyExhausted)
    }
}
