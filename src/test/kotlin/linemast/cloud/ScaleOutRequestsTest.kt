package linemast.cloud

import linemast.domain.Job
import linemast.domain.JobRecord
import linemast.domain.MachineType
import linemast.planning.ScaleOutDemand
import linemast.settings.Policy
import linemast.testSettings
import linemast.testSpec
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** How many rentals are asked for at once, where the cloud takes only a few calls a second. */
class ScaleOutRequestsTest {
    private val type = MachineType("small", 8.0, 0.0, 16.0, 50.0, 0.2, 0.42, 0.1, 25_000_000, listOf("a", "b"))
    private val types = mapOf(type.name to type)

    /** The settings say five calls a second. */
    private val fleet = Fleet(testSettings(), Policy(), fencingToken = 1).also { it.baselineMachines = emptySet() }
    private val job = Job(
        JobRecord(testSpec("req-1", "pieces" to 10_000, "vcpus" to 2.0), 0L, opened = true, cancelled = false),
        1L,
        inherited = false,
    )

    private fun rentFor(machines: Int, nowMicros: Long = 0L): List<ScaleOutRequest> {
        val wishes = listOf(ScaleOutDemand(job, machines * 4.0))
        return fleet.planScaleOut(wishes, types.values, emptyMap(), { Double.MAX_VALUE }, { _, _, _ -> false }, nowMicros)
    }

    @Test
    fun `no more requests are under way than the cloud takes in a second`() {
        val first = rentFor(400)
        assertEquals(List(5) { 50 }, first.map { it.number })
        assertTrue(fleet.hasDeferredDemand)
        assertEquals(0, rentFor(400).size)
        fleet.scaleOutGranted(first[0], List(50) { "host-%06d".format(it) }, types, 0L)
        assertEquals(listOf(50), rentFor(400).map { it.number })
    }

    @Test
    fun `what is left is asked of another offer once the first one is refused`() {
        val first = rentFor(400)
        fleet.scaleOutRefused(first[0], types, 0L)
        assertEquals(listOf("a" to true), first.map { it.zone to it.spot }.distinct())
        assertEquals(listOf("b" to true), rentFor(400).map { it.zone to it.spot })
    }

    @Test
    fun `a wish that fits in what is under way asks for nothing more`() {
        assertEquals(listOf(50, 50), rentFor(100).map { it.number })
        assertFalse(fleet.hasDeferredDemand)
        assertEquals(0, rentFor(100).size)
    }
}
