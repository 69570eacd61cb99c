package linemast.simulation

import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import linemast.settings.DutySettings
import linemast.settings.Features
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource
import java.util.stream.IntStream

/**
 * Guards against jobs that are left waiting after tasks have failed: mistaken jobs, sick machines, machines kept for a class of
 * large jobs, jobs bound to a zone, late and lost scale-ins, and changes of the leader, in virtual time.
 */
class TaskFailureSimulationTest {
    @ParameterizedTest
    @MethodSource("seeds")
    fun `no job is left waiting once mistaken jobs are cancelled and sick machines work again`(seed: Int) =
        assertNoJobIsLeftWaiting(seed, Features())

    @ParameterizedTest
    @MethodSource("seeds")
    fun `no job is left waiting if the scale-ins of earlier leaders are carried out by later ones`(seed: Int) =
        assertNoJobIsLeftWaiting(seed, Features(DutySettings()))

    private fun assertNoJobIsLeftWaiting(seed: Int, features: Features) {
        val world = simulate(seed, features = features) { world ->
            backgroundScope.launch { submitGeneratedJobs(world) }
            backgroundScope.launch { submitWideAndZonedJobs(world) }
            injectGeneratedFailures(world)
            submitLateJobs(world)
            delay(FAULT_FREE_MILLIS)
        }
        println("seed $seed: ${world.startCount} starts, ${world.completedTasks.size} tasks done, ${world.jobs.size} jobs")
        assertEquals(emptyList<Violation>(), world.violations)
        assertEquals(emptyList<String>(), world.jobs.values.filter { it.acknowledgedStatus == null }.map { it.id })
    }

    /** Submits jobs of a class that only the larger machine type fits, for which such machines are kept, and jobs bound to one zone. */
    private suspend fun submitWideAndZonedJobs(world: SimWorld) {
        repeat(WIDE_JOBS) { number ->
            val random = world.random
            val team = if (random.nextBoolean()) "north" else "south"
            val isWide = random.nextBoolean()
            val job = SimJob(
                "req-94%04d".format(number), team, 1 + random.nextInt(4), if (isWide) 6.0 else 1.0,
                gang = false, sameZone = false, spread = false, spot = random.nextBoolean(),
                runMicros = random.nextLong(2_000_000, 15_000_000),
                jobClass = if (isWide) "wide" else "zoned",
                zone = if (isWide) null else listOf("a", "b").random(random),
            )
            world.users.submit(job, null)
            delay(random.nextLong(2_000, 20_000))
        }
    }

    /** Submits jobs that need no more than the machines that are left. */
    private fun TestScope.submitLateJobs(world: SimWorld) {
        backgroundScope.launch {
            repeat(LATE_JOBS) { number ->
                val team = if (number % 2 == 0) "north" else "south"
                world.users.submit(arrayJob("req-95%04d".format(number), 3_000_000, taskCount = 3, team = team), null)
                delay(world.random.nextLong(1_000, 10_000))
            }
        }
    }

    companion object {
        /** Returns the seeds of generated failures; `-Dlinemast.failureSeeds=1-200` selects others. */
        @JvmStatic
        fun seeds(): IntStream {
            val (first, last) = System.getProperty("linemast.failureSeeds", "1-40").split('-').map { it.toInt() }
            return IntStream.rangeClosed(first, last)
        }

        private const val WIDE_JOBS = 14
        private const val LATE_JOBS = 8
        private const val FAULT_FREE_MILLIS = 240_000L
    }
}
