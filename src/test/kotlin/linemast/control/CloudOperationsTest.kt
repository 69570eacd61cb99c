package linemast.control

import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runTest
import linemast.autoscaling.Autoscaler
import linemast.autoscaling.ScalingActions
import linemast.cloud.CloudActionExecutor
import linemast.cloud.CloudException
import linemast.cloud.Fleet
import linemast.cloud.ListedMachine
import linemast.cloud.ScaleInBatch
import linemast.cloud.ScaleInReason
import linemast.cloud.ScaleOutRequest
import linemast.cloud.ScaleOutResult
import linemast.scheduling.ClusterFixture
import linemast.scheduling.FakeWorker
import linemast.settings.Policy
import linemast.simulation.SimStore
import linemast.testSettings
import linemast.time.Clock
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import kotlin.random.Random

/** What becomes of a machine whose scale-in the cloud refuses or does not answer. */
class CloudOperationsTest {
    private val fixture = ClusterFixture()
    private val worker = FakeWorker(fixture, MACHINE)
    private val settings = testSettings(ClusterFixture.TEAM)
    private val fleet = Fleet(settings, Policy(), fencingToken = 1)

    /** What the cloud does with each call, in order; once the list is used up it carries out the calls. */
    private val failures = ArrayDeque<CloudException>()
    private var callCount = 0

    private val executor = object : CloudActionExecutor {
        override suspend fun scaleOut(request: ScaleOutRequest): ScaleOutResult = ScaleOutResult.NoCapacity

        override fun split(batch: ScaleInBatch) = listOf(batch)

        override suspend fun scaleIn(batch: ScaleInBatch) {
            callCount++
            failures.removeFirstOrNull()?.let { throw it }
        }
    }

    private fun TestScope.operations(): CloudOperations {
        val clock = Clock { currentTime * 1_000 }
        val store = SimStore(backgroundScope, clock, Random(1))
        val term = testTerm(store.clientOf("mast-0"), backgroundScope, clock, settings.storeLimits)
        worker.heartbeatFor(2)
        val listed = ListedMachine(MACHINE, "", ClusterFixture.TYPE.name, "z", false, "running", 0)
        fleet.updateFromList(listOf(listed), fixture.cluster.machineTypes, fixture.nowMicros)
        val autoscaler = Autoscaler(fixture.cluster, fleet, fixture.cluster.planner, Policy())
        return CloudOperations(term, executor, fixture.cluster, fleet, autoscaler, MachineRegistryStore(term, fixture.cluster))
    }

    private fun TestScope.scaleIn(operations: CloudOperations = operations()): CloudOperations {
        operations.execute(ScalingActions(emptyList(), ScaleInBatch(mapOf(MACHINE to ScaleInReason.IDLE))))
        testScheduler.advanceTimeBy(500)
        return operations
    }

    private val isDraining get() = fixture.cluster.machines.getValue(MACHINE).isDraining

    /** Guards against machines that stay closed for good after a scale-in that will never take effect. */
    @Test
    fun `a machine gets starts again once its scale-in is refused for sure`() = runTest {
        failures += CloudException.ErrorStatus(429, "too many calls")
        scaleIn()
        assertFalse(isDraining)
        assertFalse(fleet.machines.getValue(MACHINE).isScalingIn)
        fixture.submit("req-1", taskCount = 1)
        worker.heartbeatFor(3)
        assertEquals(1, worker.tasks.size)
    }

    /** The cloud may carry out a call without a response at any later time, also after it has rejected a repetition. */
    @Test
    fun `a scale-in without a response is repeated until it is confirmed, and the machine gets no starts`() = runTest {
        failures += CloudException.NoResponse("no response")
        failures += CloudException.ErrorStatus(503, "trouble")
        scaleIn()
        assertTrue(isDraining)
        testScheduler.advanceTimeBy(1_000)
        assertTrue(isDraining)
        assertEquals(2, callCount)
        testScheduler.advanceTimeBy(1_000)
        assertEquals(3, callCount)
        assertFalse(MACHINE in fixture.cluster.machines)
    }

    @Test
    fun `a refused scale-in does not open a machine that a previous leader is scaling in`() = runTest {
        val operations = operations()
        fixture.cluster.markScalingIn(listOf(MACHINE))
        failures += CloudException.ErrorStatus(503, "trouble")
        scaleIn(operations)
        assertTrue(isDraining)
        assertTrue(fleet.machines.getValue(MACHINE).isScalingIn)
    }

    private companion object {
        const val MACHINE = "host-000001"
    }
}
