package linemast.simulation

import kotlinx.coroutines.delay
import kotlinx.coroutines.test.TestScope
import org.junit.jupiter.api.Assertions.assertEquals

private const val FAULT_FREE_MILLIS = 200_000L

/**
 * Runs [scenario], then waits without faults: no rule may be violated, no transaction may exceed the store's limits, and every
 * accepted job has to end.
 */
internal fun runPipelineScenario(
    seed: Int,
    configure: (SimWorld) -> Unit = {},
    scale: Int = 1,
    scenario: suspend TestScope.(SimWorld) -> Unit,
) {
    val world = simulate(seed, scale = scale, configure = configure) { world ->
        scenario(world)
        world.checks.faultFreeSinceMicros = world.clock.nowMicros()
        delay(FAULT_FREE_MILLIS)
    }
    println("seed $seed: ${world.startCount} starts, ${world.completedTasks.size} tasks done, ${world.jobs.size} jobs")
    assertEquals(emptyList<Violation>(), world.violations)
    assertEquals(emptyList<String>(), world.store.oversizedTransactions)
    assertEquals(emptyList<String>(), world.jobs.values.filter { it.acknowledgedStatus == null }.map { it.id }, "without a terminal status")
}
