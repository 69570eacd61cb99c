package linemast.planning

import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class DemandTest {
    /** A lull after a burst of first submissions once made the leader return the whole standing fleet. */
    @Test
    fun `a pause after a burst is not the end of demand, a long silence is`() {
        val demand = Demand()
        repeat(6) { demand.arrived(1_000_000L * it) }
        assertFalse(demand.hasCeased(3_600_000_000L))
        val later = (1..10).map { 60_000_000L + it * 20_000_000L }
        later.forEach(demand::arrived)
        assertFalse(demand.hasCeased(later.last() + 80_000_000L))
        assertTrue(demand.hasCeased(later.last() + 400_000_000L))
    }
}
