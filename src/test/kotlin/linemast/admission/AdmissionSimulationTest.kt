package linemast.admission

import kotlinx.coroutines.delay
import kotlinx.coroutines.test.TestScope
import linemast.settings.AdmissionSettings
import linemast.settings.Features
import linemast.simulation.SimJob
import linemast.simulation.SimWorld
import linemast.simulation.Violation
import linemast.simulation.leaderOf
import linemast.simulation.restartController
import linemast.simulation.simulate
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/**
 * Guards against a flood of small jobs of one team that defers or delays other teams and job classes, and against controllers that
 * decide differently on the same submission. Three controllers run in virtual time, also with a failure during the flood.
 */
class AdmissionSimulationTest {
    private val objectives = """
        { kind = "wait", class = "match", within_s = 30.0, share = 0.9 },
        { kind = "wait", class = "pull", within_s = 60.0, share = 0.9 },
    """.lines().joinToString(" ")

    private var jobCount = 0

    private fun job(team: String, jobClass: String, tasks: Int, vcpus: Double, runMicros: Long) = SimJob(
        "req-%06d".format(++jobCount), team, tasks, vcpus, false, false, false, true, runMicros,
        jobClass = jobClass, submitTimeoutMicros = 60_000_000,
    )

    private class FloodResult(val world: SimWorld, val flood: List<SimJob>, val others: List<SimJob>)

    /** A decision of one controller with the plan that it followed; [status] is the HTTP status of the response. */
    private data class RecordedDecision(val epoch: Long, val fencingToken: Long, val id: String, val status: Int)

    private fun runFlood(
        seed: Int,
        enabled: Boolean,
        secondsAtOne: Int = 0,
        injectFault: suspend TestScope.(SimWorld) -> Unit = {},
    ): FloodResult {
        val flood = ArrayList<SimJob>()
        val others = ArrayList<SimJob>()
        val world = simulate(
            seed,
            scale = 2,
            features = Features(admission = AdmissionSettings().takeIf { enabled }),
            objectives = objectives,
        ) { world ->
            delay(15_000)
            val startMicros = world.clock.nowMicros()
            world.users.chooseController =
                { if (world.clock.nowMicros() - startMicros < secondsAtOne * 1_000_000L) 0 else world.random.nextInt(3) }
            repeat(FLOOD_SECONDS) { second ->
                repeat(FLOOD_JOBS_PER_SECOND) { flood += job("north", "match", 1, 1.0, 300_000).also { world.users.submit(it, null) } }
                if (second % 5 == 0) others += job("south", "match", 4, 1.0, 2_000_000).also { world.users.submit(it, null) }
                if (second % 10 == 0) others += job("south", "pull", 6, 1.0, 3_000_000).also { world.users.submit(it, null) }
                if (second % 15 == 0) others += job("north", "pull", 6, 1.0, 3_000_000).also { world.users.submit(it, null) }
                if (second == FLOOD_SECONDS / 2) injectFault(world)
                delay(1_000)
            }
            delay(90_000)
        }
        return FloodResult(world, flood, others)
    }

    private fun checkOthers(result: FloodResult) {
        val (waits, starts) = result.others.map { it.acceptedMicros - it.submittedMicros to it.startedMicros - it.submittedMicros }.unzip()
        println(
            "flood ${result.flood.count {
                it.accepted
            }} of ${result.flood.size} accepted, others ${result.others.count { it.accepted }} of " +
                "${result.others.size}, accepted within ${waits.max() / 1_000} ms, started within ${starts.max() / 1_000} ms",
        )
        assertTrue(result.others.all { it.accepted && it.startedMicros > 0 })
        assertEquals(0, result.others.sumOf { it.deferralCount }, "no job outside the flood is deferred")
        assertTrue(starts.max() < MAX_START_MICROS, "started after ${starts.max()} us")
        assertTrue(result.flood.any { it.deferralCount > 0 })
        assertEquals(emptyList<Violation>(), result.world.violations)
        assertEquals(emptyList<String>(), result.world.store.oversizedTransactions)
    }

    @Test
    fun `other teams and job classes are accepted at once and start within a bounded time`() =
        checkOthers(runFlood(seed = 51, enabled = true))

    @Test
    fun `other teams are accepted at once when the flood reaches one controller before the others`() =
        checkOthers(runFlood(seed = 52, enabled = true, secondsAtOne = 15))

    @Test
    fun `other teams are accepted at once when the leader restarts and another controller is paused during the flood`() = checkOthers(
        runFlood(seed = 53, enabled = true) { world ->
            val leader = leaderOf(world).coerceAtLeast(0)
            restartController(world, leader, 1_000)
            world.network.pause((leader + 1) % 3, 3_000_000)
        },
    )

    /** The control for the other tests: without fair admission, the flood is accepted at a rate far above the store's limits. */
    @Test
    fun `without fair admission the whole flood is accepted`() {
        val result = runFlood(seed = 51, enabled = false)
        assertEquals(0, result.flood.sumOf { it.deferralCount })
        assertTrue(result.flood.all { it.accepted })
    }

    @Test
    fun `two controllers with the same plan never decide differently`() {
        val decisions = ArrayList<RecordedDecision>()
        val world = simulate(seed = 54, scale = 2, features = Features(admission = AdmissionSettings()), objectives = objectives) { world ->
            world.users.onSubmissionUnderPlan =
                { id, status, plan -> decisions += RecordedDecision(plan.epoch, plan.fencingToken, id, status) }
            delay(15_000)
            repeat(40) { second ->
                // For the first 10 seconds the flood reaches only the first controller.
                world.users.chooseController = { if (second < 10) 0 else world.random.nextInt(3) }
                repeat(FLOOD_JOBS_PER_SECOND) {
                    val job = job("north", "match", 1, 1.0, 300_000)
                    world.users.submit(job, null)
                    repeat(2) { world.users.resubmit(job) }
                }
                delay(1_000)
            }
            delay(60_000)
        }
        val repeated = decisions.groupBy { Triple(it.fencingToken, it.epoch, it.id) }.values.filter { it.size > 1 }
        println("${decisions.size} decisions, ${decisions.count { it.status == DEFERRED }} deferred, ${repeated.size} made more than once")
        val conflicting = repeated.filter { made -> made.any { it.status == DEFERRED } && made.any { it.status == ACCEPTED } }
        assertEquals(emptyList<Any>(), conflicting)
        assertTrue(repeated.count { made -> made.all { it.status == DEFERRED } } > 100)
        assertEquals(emptyList<Violation>(), world.violations)
    }

    private companion object {
        const val DEFERRED = 429
        const val ACCEPTED = 201
        const val FLOOD_SECONDS = 60
        const val FLOOD_JOBS_PER_SECOND = 40
        const val MAX_START_MICROS = 45_000_000L
    }
}
