package linemast.simulation

import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource

/** Cancellations, releases, polls and submissions of pipelines within milliseconds of each other; [InvariantChecks] checks the rules. */
class PipelineRacesTest {
    /** The leader releases a job while its user cancels it, and users poll its status at all controllers meanwhile. */
    @ParameterizedTest
    @ValueSource(ints = [201, 202, 203])
    fun `jobs end if a blocked job is cancelled while it is released`(seed: Int) = runPipelineScenario(seed) { world ->
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

    /** Users submit the jobs of a pipeline, some of them repeatedly, while its first job is cancelled. */
    @ParameterizedTest
    @ValueSource(ints = [204, 205])
    fun `pipelines are cancelled if their first job is cancelled while they are submitted`(seed: Int) = runPipelineScenario(seed) { world ->
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
            world.jobs.values.all { it.acknowledgedStatus == "withdrawn" },
            "not cancelled: ${world.jobs.values.filter { it.acknowledgedStatus != "withdrawn" }.map { it.id }}",
        )
    }

    /**
     * A blocked job uses no part of its team's limit or guarantee, and nothing is planned or reserved for it in place of jobs that
     * may start: beside wide blocked jobs, another job of the team starts as soon as without them.
     */
    @Test
    fun `blocked jobs do not delay other jobs of their team`() {
        fun startMicros(blockedJobs: Int): Long {
            var micros = 0L
            runPipelineScenario(seed = 206) { world ->
                val root = SimJob("req-620000", "north", 4, 1.0, false, false, false, true, 40_000_000)
                val wide = List(blockedJobs) {
                    SimJob(
                        "req-6201%02d".format(it), "north", 24, 1.0, false, false, false, true, 2_000_000, dependencies = listOf(root.id),
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
        val alone = startMicros(blockedJobs = 0)
        val beside = startMicros(blockedJobs = 6)
        println("all tasks of a job started after ${alone / 1_000} ms alone, ${beside / 1_000} ms beside blocked jobs")
        assertTrue(beside < alone + 2_000_000, "all tasks started after $alone us alone, after $beside us beside blocked jobs")
    }

    /** The store lowers its limits while a new leader reads its state, or between two writes of one change. */
    @ParameterizedTest
    @ValueSource(longs = [0, 30, 200, 900])
    fun `jobs end if the store's limits drop as a leader loads`(afterMillis: Long) = runPipelineScenario(seed = 207, scale = 4) { world ->
        repeat(6) { world.users.submitPipeline(chain("req-63%03d".format(it), 4)) }
        world.users.submit(SimJob("req-630900", "south", 60, 0.25, false, false, false, true, 9_000_000), 15_000)
        delay(7_000)
        launch { restartController(world, leaderOf(world).coerceAtLeast(0), 100) }
        delay(afterMillis)
        world.store.maxValueBytes = 1_536
        world.store.maxTransactionOperations = 5
        // The removal makes the leader write the records of machines again, in values within the lowered limits.
        world.workers.keys.take(3).forEach(world::removeMachine)
        delay(20_000)
        launch { restartController(world, leaderOf(world).coerceAtLeast(0), 100) }
    }

    /**
     * A rolling upgrade from the version before pipelines with an outage of the store in its middle. The store's limits drop when
     * the last controller of that version has ended, while its replacement starts and another controller may be loading its state.
     */
    @ParameterizedTest
    @ValueSource(ints = [208, 209, 210])
    fun `jobs end after a rolling upgrade with an outage and then lowered limits`(seed: Int) = runPipelineScenario(seed, { world ->
        world.previousVersionControllers += listOf(0, 1, 2)
    }) { world ->
        repeat(6) { number ->
            world.users.submit(
                SimJob(
                    "req-64%04d".format(number),
                    if (number % 2 == 0) {
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
        for ((step, controller) in order.withIndex()) {
            world.previousVersionControllers -= controller
            if (step == 1) world.store.startOutage()
            world.killController(controller)
            if (step == 2) {
                world.store.maxValueBytes = 1_536
                world.store.maxTransactionOperations = 5
            }
            delay(1_000)
            world.startController(controller)
            // A controller that is not upgraded yet restarts with the previous version.
            if (step < 2) restartController(world, order[step + 1], 400)
            delay(world.random.nextLong(3_000, 9_000))
            if (step == 1) world.store.endOutage()
        }
        repeat(3) { world.users.submitPipeline(chain("req-65%03d".format(it), 4)) }
        delay(10_000)
    }

    private fun chain(id: String, length: Int): List<SimJob> = List(length) { number ->
        SimJob(
            "$id$number", "north", 2, 1.0, false, false, false, true, 3_000_000,
            dependencies = if (number == 0) {
                emptyList()
            } else {
                listOf("$id${number - 1}")
            },
        )
    }
}
