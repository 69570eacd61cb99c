package linemast.simulation

import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource

/**
 * Cancellations that coincide with faults. [InvariantChecks] reports tasks of a cancelled job that run for longer than the time
 * limit for cancellations, and violations of the other rules; all accepted jobs have to end.
 */
class CancellationFaultCombinationTest {
    /**
     * The store refuses the leader only, or leaves its watches hanging while it can renew its lease, and the other controllers
     * confirm cancellations. Then an outage of the store lasts longer than the time limit for cancellations. How long the leader
     * may respond to heartbeats is limited by the age of its data on cancellations, not by the renewal of its lease.
     */
    @ParameterizedTest
    @ValueSource(ints = [1, 2, 3, 4, 5, 6, 7, 8, 9])
    fun `tasks end within the cancellation limit if the leader cannot read the cancellations of their jobs`(seed: Int) {
        println("seed $seed")
        val world = simulate(seed) { world ->
            val jobs = List(3) { arrayJob("req-90000$it", runMicros = 200_000_000) }
            jobs.forEach { world.users.submit(it, null) }
            delay(20_000)
            assertTrue(world.startCount > 0)
            val leader = "mast-${leaderOf(world)}"
            if (seed % 3 != 0) world.store.refusedControllers += leader
            if (seed % 3 != 1) world.store.controllersWithHangingWatches += leader
            if (seed % 3 == 2) {
                delay(100)
                world.store.refusedControllers -= leader
            }
            jobs.forEach { world.users.cancel(it, world.random.nextLong(1_000)) }
            delay(1_500 + world.random.nextLong(12_000))
            world.store.startOutage()
            delay(50_000)
            world.store.endOutage()
            world.store.refusedControllers.clear()
            world.store.controllersWithHangingWatches.clear()
            delay(30_000)
            assertEquals(jobs.map { "withdrawn" }, jobs.map { it.acknowledgedStatus })
        }
        assertEquals(emptyList<Violation>(), world.violations)
    }

    @ParameterizedTest
    @ValueSource(ints = [41, 42])
    fun `jobs end if they are cancelled, polled and submitted again when their last task ends`(seed: Int) =
        runFaultCombination(seed) { world ->
            world.users.cancelAtCompletionProbability = 0.8
            world.store.lostResponseProbability = if (seed % 2 == 0) 0.1 else 0.0
            repeat(25) { number ->
                world.users.submit(arrayJob("req-91%04d".format(number), runMicros = 2_000_000, taskCount = 1 + number % 3), null)
                launch { repeat(4) { world.users.sendUnusualRequests() } }
                delay(1_000)
            }
            world.store.lostResponseProbability = 0.0
        }

    @ParameterizedTest
    @ValueSource(ints = [47, 48, 49])
    fun `a team stays within its limit after a failover while workers are silent and a job is cancelled`(seed: Int) =
        runFaultCombination(seed) { world ->
            val first = arrayJob("req-930000", runMicros = 60_000_000, taskCount = 24)
            world.users.submit(first, null)
            delay(12_000)
            val silentWorkers = world.workers.values.filter { it.tasks.isNotEmpty() }.take(3)
            silentWorkers.forEach {
                if (seed % 2 == 0) it.isPartitioned = true else it.pausedUntilMicros = world.clock.nowMicros() + 20_000_000
            }
            world.users.submit(arrayJob("req-930001", runMicros = 5_000_000, taskCount = 24), null)
            launch { restartController(world, leaderOf(world), 1_000) }
            delay(world.random.nextLong(6_000))
            world.users.cancel(first, 0)
            delay(25_000)
            silentWorkers.forEach { it.isPartitioned = false }
        }

    @ParameterizedTest
    @ValueSource(ints = [58, 59])
    fun `jobs end if the store is slow, refuses the leader, then has an outage while users cancel and poll`(seed: Int) =
        runFaultCombination(seed) { world ->
            submitMixedJobs(world, runMicros = 40_000_000)
            delay(8_000)
            world.store.maxLatencyMillis = 1_500
            delay(5_000)
            world.jobs.values.take(3).forEach { world.users.cancel(it, world.random.nextLong(4_000)) }
            launch { repeat(5) { world.users.sendUnusualRequests() } }
            world.store.refusedControllers += "mast-${leaderOf(world)}"
            delay(world.random.nextLong(5_000))
            world.store.startOutage()
            delay(35_000)
            world.store.endOutage()
            world.store.refusedControllers.clear()
            world.store.maxLatencyMillis = 12
        }

    @ParameterizedTest
    @ValueSource(ints = [66, 67])
    fun `cancelled jobs end if their workers send heartbeats to a leader that is partitioned from store and peers`(seed: Int) =
        runFaultCombination(seed) { world ->
            submitMixedJobs(world, runMicros = 50_000_000)
            delay(10_000)
            val leader = leaderOf(world)
            world.store.refusedControllers += "mast-$leader"
            world.network.partitioned += leader
            world.jobs.values.take(2).forEach { world.users.cancel(it, world.random.nextLong(10_000)) }
            delay(35_000)
            world.store.refusedControllers -= "mast-$leader"
            world.network.partitioned -= leader
        }

    @ParameterizedTest
    @ValueSource(ints = [80, 81])
    fun `cancelled jobs end if their workers reach no controller`(seed: Int) = runFaultCombination(seed) { world ->
        submitMixedJobs(world, runMicros = 50_000_000)
        delay(10_000)
        val unreachableWorkers = world.workers.values.shuffled(world.random).take(if (seed % 2 == 0) 3 else world.workers.size)
        unreachableWorkers.forEach { it.isPartitioned = true }
        world.jobs.values.take(2).forEach { world.users.cancel(it, world.random.nextLong(3_000)) }
        delay(40_000)
        unreachableWorkers.forEach { it.isPartitioned = false }
    }
}
