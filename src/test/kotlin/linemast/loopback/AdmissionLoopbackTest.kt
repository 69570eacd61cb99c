package linemast.loopback

import kotlinx.coroutines.delay
import linemast.simulation.SimJob
import linemast.simulation.Violation
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Tag
import org.junit.jupiter.api.Test

/**
 * Guards against a flood of tiny jobs of one team that keeps jobs of other teams and classes from being accepted and started. A
 * measurement with three controller processes on loopback, with fair admission and without it, which is not part of CI; see
 * docs/operations-admission.md for how to run it.
 */
@Tag("loopback")
class AdmissionLoopbackTest {
    private val seed = Integer.getInteger("linemast.seed", 1)
    private val floodPerSecond = Integer.getInteger("linemast.flood", 40)
    private var submittedJobs = 0

    private fun job(team: String, jobClass: String, tasks: Int, runMicros: Long) = SimJob(
        "req-%06d".format(++submittedJobs), team, tasks, 1.0, false, false, false, true, runMicros,
        jobClass = jobClass, submitTimeoutMicros = SUBMIT_TIMEOUT_MICROS,
    )

    private class ScenarioResult(
        val otherJobs: List<SimJob>,
        val floodJobs: List<SimJob>,
        val concurrentDecisions: Int,
        val contradictoryDecisions: Int,
    )

    private fun runScenario(isEnabled: Boolean): ScenarioResult {
        val cluster = LoopbackCluster(
            LoopbackOptions(
                seed = if (isEnabled) seed else seed + DISABLED_SEED_OFFSET,
                arguments = if (isEnabled) listOf("--admission", "deploy/admission.toml") else emptyList(),
                policy = "return { }",
                baselineMachines = 12,
                maxMachines = 24,
                requestsPerSecond = 200.0,
                writesPerSecond = 40.0,
                objectives = CLASSES.joinToString { """{ kind = "wait", class = "$it", within_s = 30.0, share = 0.9 }""" },
            ),
        )
        val floodJobs = ArrayList<SimJob>()
        val otherJobs = ArrayList<SimJob>()
        val responses = HashMap<String, ArrayList<TimedResponse>>()
        cluster.runScenario {
            val world = cluster.world
            world.users.onSubmissionResponse =
                { id, status -> responses.getOrPut(id) { ArrayList() } += TimedResponse(world.clock.nowMicros(), status) }
            val firstJob = job("south", "match", 1, 100_000)
            world.users.submit(firstJob, null)
            assertTrue(cluster.await(STARTUP_TIMEOUT_MILLIS) { firstJob.accepted }, "no controller accepted the first job in time")
            val floodStartMicros = world.clock.nowMicros()
            // At first all submissions go to controller 0, so that this controller sees the flood before the others.
            world.users.chooseController =
                { if (world.clock.nowMicros() - floodStartMicros < SINGLE_CONTROLLER_MICROS) 0 else world.random.nextInt(3) }
            repeat(FLOOD_SECONDS) { second ->
                repeat(floodPerSecond) { floodJobs += job("north", "match", 1, 300_000).also { world.users.submit(it, null) } }
                floodJobs.takeLast(RESUBMITTED_PER_SECOND).forEach { job -> repeat(2) { world.users.resubmit(job) } }
                if (second % 2 == 0) otherJobs += job("south", "match", 2, 1_000_000).also { world.users.submit(it, null) }
                if (second % 4 == 0) otherJobs += job("south", "pull", 4, 2_000_000).also { world.users.submit(it, null) }
                if (second % 5 == 0) otherJobs += job("north", "pull", 4, 2_000_000).also { world.users.submit(it, null) }
                delay(1_000)
            }
            delay(DRAIN_MILLIS)
        }
        assertEquals(emptyList<Violation>(), cluster.world.violations)
        val concurrent = responses.values.map(::concurrentDecisions).filter { it.size > 1 }
        val contradictory = concurrent.count { decisions ->
            decisions.any { it.status == DEFERRED } && decisions.any { it.status == ACCEPTED }
        }
        return ScenarioResult(otherJobs, floodJobs, concurrent.size, contradictory)
    }

    /** Returns those of the [responses] to a job that decide it and arrive shortly after the first response. */
    private fun concurrentDecisions(responses: List<TimedResponse>): List<TimedResponse> {
        val firstMicros = responses.first().micros
        return responses.filter { it.status in DECISION_STATUSES && it.micros - firstMicros < CONCURRENCY_WINDOW_MICROS }
    }

    private class TimedResponse(val micros: Long, val status: Int)

    private fun report(name: String, result: ScenarioResult) {
        val accepted = result.otherJobs.filter { it.accepted }
        val waits = accepted.map { (it.acceptedMicros - it.submittedMicros) / 1_000 }.sorted()
        val startDelays = accepted.filter { it.startedMicros > 0 }.map { (it.startedMicros - it.submittedMicros) / 1_000 }.sorted()
        println("$name, seed $seed, $floodPerSecond tiny jobs per second for $FLOOD_SECONDS s:")
        println(
            "  other jobs: ${accepted.size} of ${result.otherJobs.size} accepted, " +
                "time to acceptance: median ${waits[waits.size / 2]} ms, longest ${waits.last()} ms",
        )
        println("  other jobs: ${startDelays.size} started, longest time to start ${startDelays.last()} ms")
        println("  flood jobs: ${result.floodJobs.count { it.accepted }} of ${result.floodJobs.size} accepted")
        println(
            "  ${result.concurrentDecisions} jobs decided by several controllers at the same time, " +
                "${result.contradictoryDecisions} of them both accepted and deferred",
        )
    }

    @Test
    fun `with fair admission all jobs of other teams and classes are accepted and started despite a flood`() {
        val withAdmission = runScenario(isEnabled = true)
        report("with fair admission", withAdmission)
        report("without fair admission", runScenario(isEnabled = false))
        assertTrue(withAdmission.otherJobs.all { it.accepted && it.startedMicros > 0 })
    }

    private companion object {
        val CLASSES = listOf("match", "pull")
        const val DEFERRED = 429
        const val ACCEPTED = 201
        val DECISION_STATUSES = setOf(DEFERRED, ACCEPTED)
        const val DISABLED_SEED_OFFSET = 1_000
        const val SUBMIT_TIMEOUT_MICROS = 60_000_000L
        const val STARTUP_TIMEOUT_MILLIS = 30_000L
        const val SINGLE_CONTROLLER_MICROS = 10_000_000L
        const val CONCURRENCY_WINDOW_MICROS = 100_000L
        const val FLOOD_SECONDS = 60
        const val RESUBMITTED_PER_SECOND = 5
        const val DRAIN_MILLIS = 60_000L
    }
}
