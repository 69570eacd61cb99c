package linemast.autoscaling

import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class DemandMonitorTest {
    /**
     * Guards against a scale-in of the whole baseline during a pause: after a burst of first submissions an ordinary pause is many
     * times the gap within the burst.
     */
    @Test
    fun `demand has not ceased in a pause after a burst, but has ceased after a long time without submissions`() {
        val demand = DemandMonitor()
        var now = 0L
        fun advance(seconds: Int) = repeat(seconds * 4) {
            now += 250_000
            demand.tick(now)
        }
        repeat(6) {
            advance(1)
            demand.recordSubmission(now)
        }
        advance(3_600)
        assertFalse(demand.hasCeased(), "demand has not ceased if there were too few submissions to tell the usual gap")
        repeat(20) {
            advance(20)
            demand.recordSubmission(now)
        }
        advance(80)
        assertFalse(demand.hasCeased())
        // An outage without ticks, in which no job can be submitted, does not count as time without submissions.
        now += 400_000_000L
        advance(80)
        assertFalse(demand.hasCeased())
        advance(60)
        assertTrue(demand.hasCeased())
    }
}
