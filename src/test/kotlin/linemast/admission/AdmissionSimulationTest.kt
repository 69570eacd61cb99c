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

/** Three controllers under a flood of tiny jobs of one team, in virtual time. */
class AdmissionSimulationTest {
    private val objectives = """
        { kind = "wait", class = "match", within_s = 30.0, share = 0.9 },
        { kind = "wait", class = "pull", within_s = 60.0, share = 0.9 },
    """.lines().joinToString(" ")

    private var numbers = 0

    private fun job(team: String, jobClass: String, tasks: Int, vcpus: Double, runMicros: Long) = SimJob(
        "req-%06d".format(++numbers), team, tasks, vcpus, false, false, false, true, runMicros,
        jobClass = jobClass, submitTimeoutMicros = 60_000_000,
    )

    private class Outcome(val world: SimWorld, val flood: List<SimJob>, val others: List<SimJob>)

    /** A decision of one controller, and the plan by which it was made. */
    private data class Ruling(val epoch: Long, val fencingToken: Long, val id: String, val status: Int)

    private fun play(seed: Int, enabled: Boolean, firstSecondsAtOne: Int = 0, script: suspend TestScope.(SimWorld) -> Unit = {}): Outcome {
        val flood = ArrayList<SimJob>()
        val others = ArrayList<SimJob>()
        val world = simulate(
            seed,
            scale = 2,
            features = Features(admission = AdmissionSettings().takeIf { enabled }),
            objectives = objectives,
        ) { world ->
            delay(15_000)
            val began = world.clock.nowMicros()
            world.users.chooseController =
                { if (world.clock.nowMicros() - began < firstSecondsAtOne * 1_000_000L) 0 else world.random.nextInt(3) }
            repeat(FLOOD_SECONDS) { second ->
                repeat(FLOOD_A_SECOND) { flood += job("north", "match", 1, 1.0, 300_000).also { world.users.submit(it, null) } }
                if (second % 5 == 0) others += job("south", "match", 4, 1.0, 2_000_000).also { world.users.submit(it, null) }
                if (second % 10 == 0) others += job("south", "pull", 6, 1.0, 3_000_000).also { world.users.submit(it, null) }
                if (second % 15 == 0) others += job("north", "pull", 6, 1.0, 3_000_000).also { world.users.submit(it, null) }
                if (second == FLOOD_SECONDS / 2) script(world)
                delay(1_000)
            }
            delay(90_000)
        }
        return Outcome(world, flood, others)
    }

    private fun check(outcome: Outcome) {
        val (waits, starts) = outcome.others.map { it.acceptedMicros - it.submittedMicros to it.startedMicros - it.submittedMicros }.unzip()
        println(
            "flood ${outcome.flood.count {
                it.accepted
            }} of ${outcome.flood.size} accepted, others ${outcome.others.count { it.accepted }} of " +
                "${outcome.others.size}, accepted within ${waits.max() / 1_000} ms, started within ${starts.max() / 1_000} ms",
        )
        assertTrue(outcome.others.all { it.accepted && it.startedMicros > 0 })
        assertEquals(0, outcome.others.sumOf { it.deferralCount }, "nobody else is put off")
        assertTrue(starts.max() < MAX_START_MICROS, "started after ${starts.max()} us")
        assertTrue(outcome.flood.any { it.deferralCount > 0 })
        assertEquals(emptyList<Violation>(), outcome.world.violations)
        assertEquals(emptyList<String>(), outcome.world.store.oversizedTransactions)
    }

    @Test
    fun `other teams and classes are accepted at once and start within a bounded time`() = check(play(seed = 51, enabled = true))

    @Test
    fun `other teams are accepted at once when one controller sees the surge before the others`() =
        check(play(seed = 52, enabled = true, firstSecondsAtOne = 15))

    @Test
    fun `other teams are accepted at once when the leader ends and another controller is frozen in the middle of it`() = check(
        play(seed = 53, enabled = true) { world ->
            val leader = leaderOf(world).coerceAtLeast(0)
            restartController(world, leader, 1_000)
            world.network.pause((leader + 1) % 3, 3_000_000)
        },
    )

    /** Without the subsystem the flood is accepted as it comes: far more than the store's limits allow. */
    @Test
    fun `without fair admission the whole flood is accepted`() {
        val outcome = play(seed = 51, enabled = false)
        assertEquals(0, outcome.flood.sumOf { it.deferralCount })
        assertTrue(outcome.flood.all { it.accepted })
    }

    @Test
    fun `two controllers with the same plan never decide differently`() {
        val rulings = ArrayList<Ruling>()
        val world = simulate(seed = 54, scale = 2, features = Features(admission = AdmissionSettings()), objectives = objectives) { world ->
            world.users.onSubmissionUnderPlan = { id, status, plan -> rulings += Ruling(plan.epoch, plan.fencingToken, id, status) }
            delay(15_000)
            repeat(40) { second ->
                // The first controller sees the flood alone for a while.
                world.users.chooseController = { if (second < 10) 0 else world.random.nextInt(3) }
                repeat(FLOOD_A_SECOND) {
                    val job = job("north", "match", 1, 1.0, 300_000)
                    world.users.submit(job, null)
                    repeat(2) { world.users.resubmit(job) }
                }
                delay(1_000)
            }
            delay(60_000)
        }
        val same = rulings.groupBy { Triple(it.fencingToken, it.epoch, it.id) }.values.filter { it.size > 1 }
        println("${rulings.size} decisions, ${rulings.count { it.status == PUT_OFF }} put off, ${same.size} made more than once")
        val different = same.filter { made -> made.any { it.status == PUT_OFF } && made.any { it.status == NEWLY_ACCEPTED } }
        assertEquals(emptyList<Any>(), different)
        assertTrue(same.count { made -> made.all { it.status == PUT_OFF } } > 100)
        assertEquals(emptyList<Violation>(), world.violations)
    }

    private companion object {
        const val PUT_OFF = 429
        const val NEWLY_ACCEPTED = 201
        const val FLOOD_SECONDS = 60
        const val FLOOD_A_SECOND = 40
        const val MAX_START_MICROS = 45_000_000L
    }
}
