package linemast.cloud

import linemast.domain.MachineShape
import linemast.domain.MachineType
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** How long a machine shape is not requested after refusals. */
class CapacityBackOffTest {
    private val type = MachineType("small", 8.0, 0.0, 16.0, 50.0, 0.2, 0.42, 0.1, 25_000_000, listOf("a", "b"))
    private val shape = MachineShape(type, "a", spot = true)
    private val backOff = CapacityBackOff()

    /** Records a refusal at [nowMicros], checks that the back-off lasts exactly [expectedMicros], and returns its end. */
    private fun assertBackOff(nowMicros: Long, expectedMicros: Long): Long {
        backOff.recordRefusal(shape, nowMicros)
        val endMicros = nowMicros + expectedMicros
        assertFalse(backOff.isAvailable(shape, endMicros - 1))
        assertTrue(backOff.isAvailable(shape, endMicros))
        return endMicros
    }

    @Test
    fun `a shape without refusals is available`() {
        assertTrue(backOff.isAvailable(shape, nowMicros = 0))
    }

    @Test
    fun `the back-off doubles with each refusal up to eight times the first back-off`() {
        var nowMicros = 1_000_000L
        for (seconds in listOf(8, 16, 32, 64, 64)) nowMicros = assertBackOff(nowMicros, seconds * 1_000_000L)
    }

    @Test
    fun `refusals during the back-off do not prolong it`() {
        backOff.recordRefusal(shape, nowMicros = 1_000_000)
        backOff.recordRefusal(shape, nowMicros = 2_000_000)
        assertTrue(backOff.isAvailable(shape, nowMicros = 9_000_000))
    }

    @Test
    fun `a grant ends the back-off and resets the count of refusals`() {
        assertBackOff(nowMicros = 1_000_000, expectedMicros = 8_000_000)
        backOff.recordGrant(shape)
        assertTrue(backOff.isAvailable(shape, nowMicros = 1_000_001))
        assertBackOff(nowMicros = 2_000_000, expectedMicros = 8_000_000)
    }

    @Test
    fun `a refusal in one zone leaves the shape available in other zones`() {
        backOff.recordRefusal(shape, nowMicros = 1_000_000)
        assertTrue(backOff.isAvailable(MachineShape(type, "b", spot = true), nowMicros = 1_000_001))
    }
}
