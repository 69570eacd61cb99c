package linemast.autoscaling

import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** When a repeated action is due. */
class IntervalTimerTest {
    private val timer = IntervalTimer(intervalMicros = 1_000_000)

    @Test
    fun `a timer that was never restarted is due`() {
        assertTrue(timer.isDue(nowMicros = 0))
    }

    @Test
    fun `a restarted timer is due once its interval is over`() {
        timer.restart(nowMicros = 5_000_000)
        assertFalse(timer.isDue(nowMicros = 5_999_999))
        assertTrue(timer.isDue(nowMicros = 6_000_000))
    }

    @Test
    fun `an expired timer is due at once`() {
        timer.restart(nowMicros = 5_000_000)
        timer.expire()
        assertTrue(timer.isDue(nowMicros = 5_000_001))
    }
}
