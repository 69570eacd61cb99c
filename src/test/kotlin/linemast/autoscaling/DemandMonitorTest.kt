package linemast.autoscaling

import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class DemandMonitorTest {
    /** A lull after a burst of first submissions once made the leader scale in the whole baseline. */
    @Test
    fun `a pause after a burst is not the end of demand, a long time without submissions is`() {
        val demand = DemandMonitor()
        var now = 0L
        fun pass(seconds: Int) = repeat(seconds * 4) {
            now += 250_000
            demand.tick(now)
        }
        repeat(6) {
            pass(1)
            demand.recordSubmission(now)
        }
        pass(3_600)
        assertFalse(demand.hasCeased(), "too few submissions to tell")
        repeat(20) {
            pass(20)
            demand.recordSubmission(now)
        }
        pass(80)
        assertFalse(demand.hasCeased())
        // An outage without ticks, in which no job could have been submitted.
        now += 400_000_000L
        pass(80)
        assertFalse(demand.hasCeased())
        pass(60)
        assertTrue(demand.hasCeased())
    }
}
