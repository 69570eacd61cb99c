package linemast.state

import linemast.settings.StateLimits
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class StoreRatesTest {
    private val next = StateLimits(rps = 60.0, writeRps = 20.0, valueBytes = 2_048, txnOps = 5)
    private val limits = StateLimits(rps = 90.0, writeRps = 40.0, valueBytes = 16_384, txnOps = 16, next = next)

    @Test
    fun `three controllers together keep within the rates, before a refusal and after it`() {
        val rates = List(3) { StoreRates(limits, 3) }
        rates[1].leads = true
        assertTrue(rates.sumOf { it.changes } <= 40.0 && rates.sumOf { it.requests } <= 90.0)
        rates.forEach { assertTrue(it.refused(isCommit = true)) }
        assertTrue(rates.sumOf { it.changes } <= 20.0, "the changes follow at once")
        assertTrue(rates.sumOf { it.requests } > 60.0, "the other calls only when they are refused themselves")
        rates.forEach { assertTrue(it.refused(isCommit = false)) }
        assertTrue(rates.sumOf { it.requests } <= 60.0)
        assertEquals(rates[0].changes * 2, rates[1].changes, "the leader's part stays the larger one")
        rates.forEach { assertFalse(it.refused(isCommit = true), "nothing is left to fall to") }
    }

    @Test
    fun `without next limits a refusal changes nothing`() {
        val rates = StoreRates(StateLimits(90.0, 40.0, 16_384, 16), 3)
        val before = rates.changes to rates.requests
        assertFalse(rates.refused(isCommit = true) || rates.refused(isCommit = false))
        assertEquals(before, rates.changes to rates.requests)
    }
}
