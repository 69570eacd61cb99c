package linemast.simulation

import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource

/**
 * Pipelines on three controllers in virtual time. Among the other rules, [InvariantChecks] checks that a job starts only after its
 * dependencies and that it is cancelled with them.
 */
class PipelineSimulationTest {
    @Test
    fun `each stage of a chain ends within seconds of the stage before`() {
        val ends = ArrayList<Long>()
        runPipelineScenario(seed = 91) { world ->
            world.users.submitPipeline(chain("req-50000", 6))
            while (world.completedTasks.size < 12) {
                if (world.completedTasks.size / 2 > ends.size) ends += world.clock.nowMicros()
                delay(100)
            }
            ends += world.clock.nowMicros()
        }
        // A stage fetches its image for up to 2 s and runs for 3 s. The rest is the release of the next stage: commits and up to
        // two heartbeats.
        val longest = ends.zipWithNext { one, next -> next - one }.max()
        println("ends of the stages: ${ends.map { it / 1_000 }} ms, the longest stage ${longest / 1_000} ms")
        assertTrue(longest < 8_500_000, "a stage took $longest us")
    }

    @ParameterizedTest
    @ValueSource(ints = [92, 93, 94, 95])
    fun `jobs end after a failover and an outage while dependencies run and are cancelled`(seed: Int) = runPipelineScenario(seed) { world ->
        repeat(5) { number ->
            val chain = chain("req-51%03d".format(number), 5)
            world.users.submitPipeline(chain, submitLastAfterDependencies = number == 2)
            if (number % 2 == 1) {
                launch {
                    delay(2_000 + world.random.nextLong(12_000))
                    world.users.cancel(chain[world.random.nextInt(3)], 0)
                }
            }
            delay(2_000)
        }
        launch { restartController(world, leaderOf(world).coerceAtLeast(0), 300) }
        delay(6_000)
        world.store.startOutage()
        delay(if (seed % 2 == 0) 12_000 else 34_000)
        world.store.endOutage()
        world.store.lostResponseProbability = 0.2
        delay(10_000)
        world.store.lostResponseProbability = 0.0
    }

    @ParameterizedTest
    @ValueSource(ints = [96, 97])
    fun `pipelines end if jobs are cancelled when their last task completes`(seed: Int) = runPipelineScenario(seed) { world ->
        world.users.cancelAtCompletionProbability = 0.5
        repeat(8) { number ->
            world.users.submitPipeline(chain("req-52%03d".format(number), 4))
            delay(2_000)
        }
        delay(20_000)
        world.users.cancelAtCompletionProbability = 0.0
    }

    /**
     * Forty jobs depend on the first job, and the last job depends on them. After the cancellation of the first job the leader
     * cancels the others without further requests.
     */
    @Test
    fun `many dependents are cancelled in the background within the store's limits`() = runPipelineScenario(seed = 98) { world ->
        world.store.maxTransactionOperations = 5
        world.store.maxValueBytes = 1_536
        val first = SimJob("req-530000", "north", 2, 1.0, false, false, false, true, 60_000_000)
        val fan =
            List(40) {
                SimJob("req-5301%02d".format(it), "north", 1, 1.0, false, false, false, true, 1_000_000, dependencies = listOf(first.id))
            }
        val last = SimJob("req-530999", "north", 1, 1.0, false, false, false, true, 1_000_000, dependencies = fan.map { it.id })
        world.users.submitPipeline(listOf(first) + fan + last)
        while (!last.accepted) delay(500)
        world.users.pollingSuspended = true
        world.users.cancel(first, 0)
        delay(15_000)
        assertEquals(emptySet<String>(), world.store.keysUnder("w/"))
        assertEquals(setOf("withdrawn"), (fan + last).map { world.store.valueOf("j/${it.id}")?.text("verdict") }.toSet())
        world.users.pollingSuspended = false
    }

    /**
     * Controllers of two versions run at the same time and read each other's records. A controller that crashes before its upgrade
     * restarts with the previous version.
     */
    @ParameterizedTest
    @ValueSource(ints = [101, 102, 103, 104, 105, 106])
    fun `jobs end after a rolling upgrade with faults, also pipelines submitted after it`(seed: Int) = runPipelineScenario(seed, { world ->
        world.previousVersionControllers += listOf(0, 1, 2)
    }) { world ->
        repeat(10) { number ->
            val gang = number % 4 == 3
            val job = SimJob(
                "req-54%04d".format(number),
                if (number % 2 == 0) {
                    "north"
                } else {
                    "south"
                },
                if (gang) 2 else 6, if (gang) 4.0 else 1.0, gang, gang, false, true, 12_000_000,
            )
            world.users.submit(job, if (number == 4) 9_000 else null)
        }
        delay(8_000)
        val faults = launch {
            repeat(3) {
                delay(4_000)
                // The controller restarts with the version that it ran before.
                restartController(world, world.random.nextInt(3), 500)
                world.workers.values.shuffled(world.random).first().pausedUntilMicros =
                    world.clock.nowMicros() + world.random.nextLong(9_000_000)
            }
        }
        for (controller in listOf(0, 1, 2).shuffled(world.random)) {
            world.previousVersionControllers -= controller
            restartController(world, controller, 1_000)
            delay(world.random.nextLong(2_000, 9_000))
        }
        faults.join()
        repeat(3) { world.users.submitPipeline(chain("req-55%03d".format(it), 4)) }
        delay(5_000)
        world.store.maxValueBytes = 1_536
        world.store.maxTransactionOperations = 5
        delay(10_000)
        launch { restartController(world, leaderOf(world).coerceAtLeast(0), 300) }
    }

    private fun chain(id: String, length: Int): List<SimJob> = List(length) { number ->
        val gang = number % 3 == 2
        SimJob(
            "$id$number", "north", 2, if (gang) 2.0 else 1.0, gang, gang, false, true, 3_000_000,
            dependencies = if (number == 0) emptyList() else listOf("$id${number - 1}"),
        )
    }
}
