package linemast.loopback

import kotlinx.coroutines.delay
import linemast.simulation.SimJob
import linemast.simulation.Violation
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Tag
import org.junit.jupiter.api.Test

/**
 * A measurement, not part of CI: three processes on loopback under a flood of tiny jobs of one team, with fair admission and
 * without it. See docs/operations-admission.md for how to run it.
 */
@Tag("loopback")
class AdmissionLoopbackTest {
    private val seed = Integer.getInteger("linemast.seed", 1)
    private val floodPerSecond = Integer.getInteger("linemast.flood", 40)
    private var numbers = 0

    private fun job(team: String, jobClass: String, tasks: Int, runMicros: Long) = SimJob(
        "req-%06d".format(++numbers), team, tasks, 1.0, false, false, false, true, runMicros,
        jobClass = jobClass, submitTimeoutMicros = PATIENCE_MICROS,
    )

    private class Outcome(val others: List<SimJob>, val flood: List<SimJob>, val decisions: Int, val differing: Int)

    private fun runScenario(isEnabled: Boolean): Outcome {
        val cluster = LoopbackCluster(
            LoopbackOptions(
                seed = if (isEnabled) seed else seed + DISABLED_SEEDS,
                arguments = if (isEnabled) listOf("--admission", "deploy/admission.toml") else emptyList(),
                policy = "return { }",
                baselineMachines = 12,
                maxMachines = 24,
                requestsPerSecond = 200.0,
                changesPerSecond = 40.0,
                objectives = CLASSES.joinToString { """{ kind = "wait", class = "$it", within_s = 30.0, share = 0.9 }""" },
            ),
        )
        val flood = ArrayList<SimJob>()
        val others = ArrayList<SimJob>()
        val answers = HashMap<String, ArrayList<Answer>>()
        cluster.runScenario {
            val world = cluster.world
            world.users.onSubmissionResponse =
                { id, status -> answers.getOrPut(id) { ArrayList() } += Answer(world.clock.nowMicros(), status) }
            val first = job("south", "match", 1, 100_000)
            world.users.submit(first, null)
            assertTrue(cluster.await(STARTUP_MILLIS) { first.accepted }, "no controller has accepted anything")
            val began = world.clock.nowMicros()
            // One controller sees the surge before the others.
            world.users.chooseController = { if (world.clock.nowMicros() - began < ALONE_MICROS) 0 else world.random.nextInt(3) }
            repeat(FLOOD_SECONDS) { second ->
                repeat(floodPerSecond) { flood += job("north", "match", 1, 300_000).also { world.users.submit(it, null) } }
                flood.takeLast(CHECKED_A_SECOND).forEach { job -> repeat(2) { world.users.resubmit(job) } }
                if (second % 2 == 0) others += job("south", "match", 2, 1_000_000).also { world.users.submit(it, null) }
                if (second % 4 == 0) others += job("south", "pull", 4, 2_000_000).also { world.users.submit(it, null) }
                if (second % 5 == 0) others += job("north", "pull", 4, 2_000_000).also { world.users.submit(it, null) }
                delay(1_000)
            }
            delay(AFTER_MILLIS)
        }
        assertEquals(emptyList<Violation>(), cluster.world.violations)
        val together = answers.values.map(::madeTogether).filter { it.size > 1 }
        val differing = together.count { made -> made.any { it.status == PUT_OFF } && made.any { it.status == NEWLY_ACCEPTED } }
        return Outcome(others, flood, together.size, differing)
    }

    private fun madeTogether(answers: List<Answer>): List<Answer> {
        val first = answers.first().micros
        return answers.filter { it.status in DECIDED && it.micros - first < TOGETHER_MICROS }
    }

    private class Answer(val micros: Long, val status: Int)

    private fun report(name: String, outcome: Outcome) {
        val accepted = outcome.others.filter { it.accepted }
        val waits = accepted.map { (it.acceptedMicros - it.submittedMicros) / 1_000 }.sorted()
        val starts = accepted.filter { it.startedMicros > 0 }.map { (it.startedMicros - it.submittedMicros) / 1_000 }.sorted()
        println("$name, seed $seed, $floodPerSecond tiny jobs a second for $FLOOD_SECONDS s:")
        println(
            "  others: ${accepted.size} of ${outcome.others.size} accepted, median ${waits[waits.size / 2]} ms, longest ${waits.last()} ms",
        )
        println("  others: ${starts.size} started, longest ${starts.last()} ms")
        println("  flood: ${outcome.flood.count { it.accepted }} of ${outcome.flood.size} accepted")
        println("  ${outcome.decisions} submissions decided by several controllers at once, ${outcome.differing} differently")
    }

    @Test
    fun `every team and class is accepted and started within a bounded wait, and controllers agree`() {
        val with = runScenario(isEnabled = true)
        report("with fair admission", with)
        report("without", runScenario(isEnabled = false))
        assertTrue(with.others.all { it.accepted && it.startedMicros > 0 })
    }

    private companion object {
        val CLASSES = listOf("match", "pull")
        const val PUT_OFF = 429
        const val NEWLY_ACCEPTED = 201
        val DECIDED = setOf(PUT_OFF, NEWLY_ACCEPTED)
        const val DISABLED_SEEDS = 1_000
        const val PATIENCE_MICROS = 60_000_000L
        const val STARTUP_MILLIS = 30_000L
        const val ALONE_MICROS = 10_000_000L
        const val TOGETHER_MICROS = 100_000L
        const val FLOOD_SECONDS = 60
        const val CHECKED_A_SECOND = 5
        const val AFTER_MILLIS = 60_000L
    }
}
