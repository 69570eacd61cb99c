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
 * Guards against incompatible builds in an upgrade: controllers of a previous build and of this build run together as real processes on
 * loopback, and the leader is killed repeatedly until leadership has passed from each build to the other. Not part of CI: the previous
 * build is a jar that `-Dlinemast.previous.jar` names.
 */
@Tag("loopback")
class UpgradeLoopbackTest {
    private val previousJar = Path.of(System.getProperty("linemast.previous.jar", "previous.jar"))

    /** Number of accepted submissions, by whether the controller runs the previous build. */
    private val acceptedCounts = HashMap<Boolean, Int>()
    private val failovers = HashMap<String, Int>()

    @ParameterizedTest
    @ValueSource(ints = [1, 2])
    fun `no job is lost and no rule is violated while both builds lead in turn`(previousCount: Int) {
        assumeTrue(Files.exists(previousJar), "linemast.previous.jar does not name an existing file")
        val options = LoopbackOptions(
            seed = SEED + previousCount,
            arguments = listOf("--duties", "deploy/duties.toml"),
            policy = "return { leader_hold_s = 1, idle_return_s = 1.5, short_interval_s = 1 }",
            baselineMachines = 4,
            maxMachines = 16,
            jarOf = { if (it < previousCount) previousJar.toString() else "target/linemast.jar" },
        )
        val cluster = LoopbackCluster(options)
        cluster.runScenario {
            val world = cluster.world
            countAcceptances(world, previousCount)
            val submissions = launch { submitJobs(world) }
            assertTrue(cluster.await(20_000) { world.startCount > 0 }, "no task was started in time")
            killLeaders(cluster, previousCount)
            submissions.join()
            assertTrue(cluster.await(120_000) { world.jobs.values.all { it.acknowledgedStatus != null } }, "some jobs did not end in time")
        }
        report(cluster.world, previousCount)
        assertEquals(emptyList<Violation>(), cluster.world.violations)
        val faults = CloudActionHistoryAudit(cluster.world).faults()
        assertEquals(emptyList<Any>(), faults.map { (action, fault) -> "$fault: ${action.scaleOutRequest ?: action.removedMachines}" })
        assertEquals(setOf(true, false), acceptedCounts.keys, "controllers of both builds must accept jobs; true is the previous build")
        assertTrue(failovers.keys.containsAll(setOf(PREVIOUS_TO_NEW, NEW_TO_PREVIOUS)), "leadership did not pass both ways: $failovers")
    }

    /** Counts accepted submissions by whether the controller that a job was last submitted to runs the previous build. */
    private fun countAcceptances(world: SimWorld, previousCount: Int) {
        val lastController = HashMap<String, Int>()
        world.users.chooseController = { job -> world.random.nextInt(CONTROLLER_COUNT).also { lastController[job.id] = it } }
        world.users.onSubmissionResponse = { id, status ->
            if (status == 201) acceptedCounts.merge(lastController.getValue(id) < previousCount, 1, Int::plus)
        }
    }

    private suspend fun submitJobs(world: SimWorld) {
        repeat(JOB_COUNT) { number ->
            val id = "req-80%04d".format(number)
            val team = if (number % 2 == 0) "north" else "south"
            val gang = number % 5 == 0
            val job = SimJob(id, team, if (gang) 2 else 4 + number * 7 % 12, 2.0, gang, gang, false, true, 2_500_000)
            world.users.submit(job, if (number % 9 == 0) world.random.nextLong(4_000) else null)
            delay(world.random.nextLong(500, 1_500))
        }
    }

    /** Kills and restarts the leader until leadership has passed from each build to the other twice, [MAX_FAILOVERS] times at most. */
    private suspend fun CoroutineScope.killLeaders(cluster: LoopbackCluster, previousCount: Int) {
        val world = cluster.world
        repeat(MAX_FAILOVERS) {
            if (listOf(PREVIOUS_TO_NEW, NEW_TO_PREVIOUS).all { (failovers[it] ?: 0) >= 2 }) return
            val leader = leaderOf(world)
            cluster.kill(leader)
            assertTrue(cluster.await(30_000) { leaderOf(world) !in setOf(-1, leader) }, "no controller leads after $leader was killed")
            val next = leaderOf(world)
            failovers.merge("${versionOf(leader, previousCount)} to ${versionOf(next, previousCount)}", 1, Int::plus)
            launch {
                delay(1_000)
                cluster.start(leader)
            }
            delay(world.random.nextLong(5_000, 8_000))
        }
    }

    private fun versionOf(controller: Int, previousCount: Int) = if (controller < previousCount) "previous" else "new"

    private fun report(world: SimWorld, previousCount: Int) {
        val ends = world.jobs.values.groupingBy { it.acknowledgedStatus }.eachCount()
        println(
            "$previousCount of $CONTROLLER_COUNT controllers of the previous build: " +
                "accepted by previous/new ${acceptedCounts[true]}/${acceptedCounts[false]}, failovers $failovers, " +
                "jobs by final status $ends, ${world.startCount} task starts, " +
                "${world.cloud.actions.size} cloud actions, violations ${world.violations}",
        )
    }

    private companion object {
        const val SEED = 900
        const val JOB_COUNT = 60
        const val MAX_FAILOVERS = 14
        const val PREVIOUS_TO_NEW = "previous to new"
        const val NEW_TO_PREVIOUS = "new to previous"
    }
}
