package linemast.simulation

import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource

/** Cancellations, releases, questions and submissions of pipelines within milliseconds of each other; [SimWorld] checks the rules. */
class PipelineRacesTest {
    /** The leader releases a job while its user cancels it, and all controllers are asked about it all the while. */
    @ParameterizedTest
    @ValueSource(ints = [201, 202, 203])
    fun `a waiting job is cancelled while it is released`(seed: Int) = runPipelineScenario(seed) { world ->
        world.users.cancelDependentAtCompletionProbability = 0.7
        world.store.lostResponseProbability = if (seed % 2 == 0) 0.1 else 0.0
        world.store.delayedDuplicateProbability = 0.1
        repeat(8) { number ->
            val chain = chain("req-60%03d".format(number), 3)
            world.users.submitPipeline(chain)
            delay(2_000)
            repeat(12) { chain.forEach { if (it.accepted) world.users.pollAllControllers(it, times = 5) }.also { delay(500) } }
        }
        world.users.cancelDependentAtCompletionProbability = 0.0
        world.store.lostResponseProbability = 0.0
        world.store.delayedDuplicateProbability = 0.0
    }

    /** Users submit the jobs of a pipeline, and submit them again, while its first job is cancelled. */
    @ParameterizedTest
    @ValueSource(ints = [204, 205])
    fun `a job is cancelled while those that need it are submitted, and submitted again`(seed: Int) = runPipelineScenario(seed) { world ->
        repeat(10) { number ->
            val chain = chain("req-61%03d".format(number), 5)
            world.users.submitPipeline(chain)
            world.users.cancel(chain.first(), world.random.nextLong(1_500))
            launch { repeat(6) { world.users.sendUnusualRequests() } }
            chain.forEach { world.users.pollAllControllers(it.takeIf(SimJob::accepted) ?: return@forEach, times = 4) }
            delay(3_000)
        }
        delay(40_000)
        assertTrue(
            world.jobs.values.all {
                it.acknowledgedStatus == "withdrawn"
            },
            "${world.jobs.values.filter { it.acknowledgedStatus != "withdrawn" }.map { it.id }}",
        )
    }

    /**
     * A waiting job holds no part of its team's limit or guarantee and nothing is planned or kept for it in place of jobs that
     * may start: with wide jobs waiting, another job of the team begins as soon as without them.
     */
    @Test
    fun `jobs that wait take no room from their team`() {
        fun begun(waiting: Int): Long {
            var micros = 0L
            runPipelineScenario(seed = 206) { world ->
                val root = SimJob("req-620000", "north", 4, 1.0, false, false, false, true, 40_000_000)
                val wide = List(waiting) {
                    SimJob(
                        "req-6201%02d".format(
                            it,
                        ),
                        "north", 24, 1.0, false, false, false, true, 2_000_000, dependencies = listOf(root.id),
                    )
                }
                world.users.submitPipeline(listOf(root) + wide)
                delay(12_000)
                val startsBefore = world.startCount
                val submitted = world.clock.nowMicros()
                world.users.submit(SimJob("req-629999", "north", 12, 1.0, false, false, false, true, 15_000_000), null)
                while (world.startCount < startsBefore + 12) delay(50)
                micros = world.clock.nowMicros() - submitted
            }
            return micros
        }
        val alone = begun(waiting = 0)
        val beside = begun(waiting = 6)
        println("all of a job's tasks begun after ${alone / 1_000} ms alone, ${beside / 1_000} ms beside waiting jobs")
        assertTrue(beside < alone + 2_000_000, "alone after $alone us, beside waiting jobs after $beside us")
    }

    /** As from a service whose limits drop while a new leader reads the store, or between two writes of one change. */
    @ParameterizedTest
    @ValueSource(longs = [0, 30, 200, 900])
    fun `the store's limits drop while a leader loads`(afterMillis: Long) = runPipelineScenario(seed = 207, scale = 4) { world ->
        repeat(6) { world.users.submitPipeline(chain("req-63%03d".format(it), 4)) }
        world.users.submit(SimJob("req-630900", "south", 60, 0.25, false, false, false, true, 9_000_000), 15_000)
        delay(7_000)
        launch { restartController(world, leaderOf(world).coerceAtLeast(0), 100) }
        delay(afterMillis)
        world.store.maxValueBytes = 1_536
        world.store.maxTransactionOperations = 5
        // The record of machines has to be written again, in values that fit.
        world.workers.keys.take(3).forEach(world::removeMachine)
        delay(20_000)
        launch { restartController(world, leaderOf(world).coerceAtLeast(0), 100) }
    }

    /**
     * A roll from the version before pipelines with an outage in its middle; the limits drop as the last controller of that
     * version has ended, while the new one starts and another one may be loading.
     */
    @ParameterizedTest
    @ValueSource(ints = [208, 209, 210])
    fun `a roll with an outage in the middle and lowered limits at its end`(seed: Int) = runPipelineScenario(seed, { world ->
        world.previousVersionControllers +=
            listOf(0, 1, 2)
    }) { world ->
        repeat(6) { number ->
            world.users.submit(
                SimJob(
                    "req-64%04d".format(number),
                    if (number % 2 ==
                        0
                    ) {
                        "north"
                    } else {
                        "south"
                    },
                    6, 1.0, false, false, false, true, 14_000_000,
                ),
                null,
            )
        }
        delay(6_000)
        val order = listOf(0, 1, 2).shuffled(world.random)
        for ((turn, at) in order.withIndex()) {
            world.previousVersionControllers -= at
            if (turn == 1) world.store.startOutage()
            world.killController(at)
            if (turn == 2) {
                world.store.maxValueBytes = 1_536
                world.store.maxTransactionOperations = 5
            }
            delay(1_000)
            world.startController(at)
            // One that has not had its turn ends, and comes back as what it was.
            if (turn < 2) restartController(world, order[turn + 1], 400)
            delay(world.random.nextLong(3_000, 9_000))
            if (turn == 1) world.store.endOutage()
        }
        repeat(3) { world.users.submitPipeline(chain("req-65%03d".format(it), 4)) }
        delay(10_000)
    }

    private fun chain(id: String, length: Int): List<SimJob> = List(length) { at ->
        SimJob(
            "$id$at", "north", 2, 1.0, false, false, false, true, 3_000_000,
            dependencies = if (at ==
                0
            ) {
                emptyList()
            } else {
                listOf("$id${at - 1}")
            },
        )
    }
}
