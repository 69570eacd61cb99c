package linemast.loopback

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import linemast.duties.CloudActionHistoryAudit
import linemast.simulation.CONTROLLER_COUNT
import linemast.simulation.SimJob
import linemast.simulation.SimWorld
import linemast.simulation.Violation
import linemast.simulation.leaderOf
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Assumptions.assumeTrue
import org.junit.jupiter.api.Tag
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import java.nio.file.Files
import java.nio.file.Path

/**
 * Controllers of a previous build and of this one serve together as real processes on loopback, and the leader is killed until
 * leadership has passed from each build to the other. Not part of CI: the previous build is a jar that `-Dlinemast.previous.jar` names.
 */
@Tag("loopback")
class UpgradeLoopbackTest {
    private val previousJar = Path.of(System.getProperty("linemast.previous.jar", "previous.jar"))
    private val accepted = HashMap<Boolean, Int>()
    private val failovers = HashMap<String, Int>()

    @ParameterizedTest
    @ValueSource(ints = [1, 2])
    fun `no job is lost and no rule is violated while both builds lead in turn`(previousCount: Int) {
        assumeTrue(Files.exists(previousJar), "linemast.previous.jar names no file")
        val programs = List(CONTROLLER_COUNT) { if (it < previousCount) previousJar else Path.of("target", "linemast.jar") }
        val options = LoopbackOptions(
            seed = SEED + previousCount,
            arguments = listOf("--duties", "deploy/duties.toml"),
            policy = "return { leader_hold_s = 1, idle_return_s = 1.5, short_interval_s = 1 }",
            baselineMachines = 4,
            maxMachines = 16,
            programs = programs,
        )
        val cluster = LoopbackCluster(options)
        cluster.runScenario {
            val world = cluster.world
            countAcceptances(world, previousCount)
            val submissions = launch { submitJobs(world) }
            assertTrue(cluster.await(20_000) { world.startCount > 0 }, "no task was started")
            killLeaders(cluster, previousCount)
            submissions.join()
            assertTrue(cluster.await(120_000) { world.jobs.values.all { it.acknowledgedStatus != null } }, "jobs that have not ended")
        }
        report(cluster.world, previousCount)
        assertEquals(emptyList<Violation>(), cluster.world.violations)
        val faults = CloudActionHistoryAudit(cluster.world).faults()
        assertEquals(emptyList<Any>(), faults.map { (order, fault) -> "$fault: ${order.scaleOutRequest ?: order.removedMachines}" })
        assertEquals(setOf(true, false), accepted.keys, "controllers of both builds have accepted jobs")
        assertTrue(failovers.keys.containsAll(setOf(PREVIOUS_TO_NEW, NEW_TO_PREVIOUS)), "leadership has not passed both ways: $failovers")
    }

    /** Counts accepted submissions by whether the controller that a user asked last runs the previous build. */
    private fun countAcceptances(world: SimWorld, previousCount: Int) {
        val entry = HashMap<String, Int>()
        world.users.chooseController = { job -> world.random.nextInt(CONTROLLER_COUNT).also { entry[job.id] = it } }
        world.users.onSubmissionResponse = { id, status ->
            if (status == 201) accepted.merge(entry.getValue(id) < previousCount, 1, Int::plus)
        }
    }

    private suspend fun submitJobs(world: SimWorld) {
        repeat(JOBS) { number ->
            val id = "req-80%04d".format(number)
            val team = if (number % 2 == 0) "north" else "south"
            val gang = number % 5 == 0
            val job = SimJob(id, team, if (gang) 2 else 4 + number * 7 % 12, 2.0, gang, gang, false, true, 2_500_000)
            world.users.submit(job, if (number % 9 == 0) world.random.nextLong(4_000) else null)
            delay(world.random.nextLong(500, 1_500))
        }
    }

    /** Kills the leader and starts it again, until each build has followed the other twice. */
    private suspend fun CoroutineScope.killLeaders(cluster: LoopbackCluster, previousCount: Int) {
        val world = cluster.world
        repeat(MAX_FAILOVERS) {
            if (listOf(PREVIOUS_TO_NEW, NEW_TO_PREVIOUS).all { (failovers[it] ?: 0) >= 2 }) return
            val leader = leaderOf(world)
            cluster.kill(leader)
            assertTrue(cluster.await(30_000) { leaderOf(world) !in setOf(-1, leader) }, "no controller leads after $leader was killed")
            val next = leaderOf(world)
            failovers.merge("${build(leader, previousCount)} to ${build(next, previousCount)}", 1, Int::plus)
            launch {
                delay(1_000)
                cluster.start(leader)
            }
            delay(world.random.nextLong(5_000, 8_000))
        }
    }

    private fun build(controller: Int, previousCount: Int) = if (controller < previousCount) "previous" else "new"

    private fun report(world: SimWorld, previousCount: Int) {
        val ends = world.jobs.values.groupingBy { it.acknowledgedStatus }.eachCount()
        println(
            "$previousCount of $CONTROLLER_COUNT controllers of the previous build: " +
                "accepted by previous/new ${accepted[true]}/${accepted[false]}, failovers $failovers, jobs by end $ends, " +
                "${world.startCount} starts, ${world.cloud.actions.size} cloud actions, violations ${world.violations}",
        )
    }

    private companion object {
        const val SEED = 900
        const val JOBS = 60
        const val MAX_FAILOVERS = 14
        const val PREVIOUS_TO_NEW = "previous to new"
        const val NEW_TO_PREVIOUS = "new to previous"
    }
}
