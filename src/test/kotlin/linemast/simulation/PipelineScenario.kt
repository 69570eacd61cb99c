package linemast.simulation

import kotlinx.coroutines.delay
import kotlinx.coroutines.test.TestScope
import org.junit.jupiter.api.Assertions.assertEquals

private const val CALM_MILLIS = 200_000L

/** Runs [script] and a calm time after it: no rule may break, nothing too large may be stored, and every accepted job has to end. */
internal fun runPipelineScenario(seed: Int, before: (SimWorld) -> Unit = {}, size: Int = 1, script: suspend TestScope.(SimWorld) -> Unit) {
    val world = simulate(seed, size = size, before = before) { world ->
        script(world)
        world.checks.calmSinceMicros = world.clock.nowMicros()
        delay(CALM_MILLIS)
    }
    println("seed $seed: ${world.starts} starts, ${world.completed.size} tasks done, ${world.jobs.size} jobs")
    assertEquals(emptyList<Violation>(), world.violations)
    assertEquals(emptyList<String>(), world.store.tooLarge)
    assertEquals(emptyList<String>(), world.jobs.values.filter { it.acknowledgedStatus == null }.map { it.id }, "without an end")
}
