package linemast.simulation

import kotlinx.coroutines.delay
import kotlinx.coroutines.test.TestScope
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue

private const val FAULT_FREE_MILLIS = 200_000L

/** Submits array jobs and gangs of both teams, more than the baseline fleet can run at once. */
internal suspend fun submitMixedJobs(world: SimWorld, runMicros: Long) = repeat(6) { number ->
    val gang = number % 3 == 2
    val team = if (number % 2 == 0) "north" else "south"
    world.users.submit(
        SimJob("req-90%04d".format(number), team, if (gang) 2 else 8, if (gang) 4.0 else 1.0, gang, gang, false, true, runMicros),
        null,
    )
    delay(200)
}

/** Injects [faults], then waits without faults: all accepted jobs have to end, none may starve, and no rule may be violated. */
internal fun runFaultCombination(seed: Int, faults: suspend TestScope.(SimWorld) -> Unit) {
    val world = simulate(seed) { world ->
        faults(world)
        world.checks.faultFreeSinceMicros = world.clock.nowMicros()
        delay(FAULT_FREE_MILLIS)
    }
    println("seed $seed: ${world.startCount} starts, ${world.completedTasks.size} tasks done, ${world.jobs.size} jobs")
    assertEquals(emptyList<Violation>(), world.violations)
    assertEquals(emptyList<String>(), world.jobs.values.filter { it.acknowledgedStatus == null }.map { it.id }, "without a terminal status")
    assertTrue(world.completedTasks.isNotEmpty())
}

/** Returns an array job whose tasks need one vCPU each and may run on any machine. */
internal fun arrayJob(id: String, runMicros: Long, taskCount: Int = 6, team: String = "north") =
    SimJob(id, team, taskCount, 1.0, gang = false, sameZone = false, spread = false, spot = true, runMicros)
