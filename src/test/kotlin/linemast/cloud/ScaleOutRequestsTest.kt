package linemast.cloud

import linemast.domain.Job
import linemast.domain.JobRecord
import linemast.domain.Machine
import linemast.domain.MachineType
import linemast.planning.ScaleOutDemand
import linemast.settings.Policy
import linemast.testSettings
import linemast.testSpec
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** How many scale-out requests are pending at once, given the few calls that the cloud accepts in a second. */
class ScaleOutRequestsTest {
    private val type = MachineType("small", 8.0, 0.0, 16.0, 50.0, 0.2, 0.42, 0.1, 25_000_000, listOf("a", "b"))
    private val types = mapOf(type.name to type)

    /** The test settings allow five calls to the cloud in a second. */
    private val fleet = Fleet(testSettings(), Policy(), fencingToken = 1).also { it.baselineMachines = emptySet() }
    private val unconstrained = ScaleOutConstraints(maxSlots = { Double.MAX_VALUE }, isExcluded = { _, _, _ -> false })
    private val job = Job(
        JobRecord(testSpec("req-1", "pieces" to 10_000, "vcpus" to 2.0), 0L, activated = true, cancelled = false),
        1L,
        inherited = false,
    )

    private fun requestsFor(machines: Int, nowMicros: Long = 0L): List<ScaleOutRequest> {
        val demands = listOf(ScaleOutDemand(job, machines * 4.0))
        return fleet.planScaleOut(demands, types.values, emptyMap(), unconstrained, nowMicros)
    }

    @Test
    fun `no more requests are pending than the cloud accepts in a second`() {
        val first = requestsFor(400)
        assertEquals(List(5) { 50 }, first.map { it.machineCount })
        assertTrue(fleet.hasDeferredDemand)
        assertEquals(0, requestsFor(400).size)
        fleet.recordScaleOutGranted(first[0], List(50) { "host-%06d".format(it) }, types, 0L)
        assertEquals(listOf(50), requestsFor(400).map { it.machineCount })
    }

    @Test
    fun `deferred demand is requested as another machine shape once the first one is refused`() {
        val first = requestsFor(400)
        fleet.recordScaleOutRefused(first[0], types, 0L)
        assertEquals(listOf("a" to true), first.map { it.zone to it.spot }.distinct())
        assertEquals(listOf("b" to true), requestsFor(400).map { it.zone to it.spot })
    }

    /** Guards against jobs that wait for ever without any machine, since each has less work than half a slot. */
    @Test
    fun `the first machine is requested for a job with little work, and none while a machine can run the job`() {
        val demands = List(3) { ScaleOutDemand(job, 0.07) }
        fun request(workers: List<Machine>) = fleet.planScaleOut(demands, types.values, workers.associateBy { it.name }, unconstrained, 0L)
        val baseline = Machine("host-000001", type, "a", spot = false).also { it.leaseEndMicros = 10_000_000 }
        fleet.baselineMachines = setOf(baseline.name)
        assertEquals(emptyList<Int>(), request(listOf(baseline)).map { it.machineCount })
        baseline.isScalingIn = true
        assertEquals(listOf(1), request(listOf(baseline)).map { it.machineCount })
        assertEquals(emptyList<Int>(), request(emptyList()).map { it.machineCount }, "one is requested already")
    }

    @Test
    fun `demand that pending requests cover is not requested again`() {
        assertEquals(listOf(50, 50), requestsFor(100).map { it.machineCount })
        assertFalse(fleet.hasDeferredDemand)
        assertEquals(0, requestsFor(100).size)
    }
}
