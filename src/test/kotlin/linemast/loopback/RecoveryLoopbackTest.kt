package linemast.loopback

import kotlinx.coroutines.delay
import linemast.simulation.CONTROLLER_COUNT
import linemast.simulation.SimJob
import linemast.simulation.Violation
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Tag
import org.junit.jupiter.api.Test

/**
 * Guards against needless or missing commands to workers after a total outage: all three controller processes are killed at once while
 * hundreds of simulated workers run tasks, and are then restarted. A measurement that is not part of CI; see
 * docs/operations-recovery.md for how to run it.
 */
@Tag("loopback")
class RecoveryLoopbackTest {
    private val seed = Integer.getInteger("linemast.seed", 1)
    private val machines = Integer.getInteger("linemast.machines", 300)

    private val options = LoopbackOptions(
        seed = seed,
        arguments = listOf("--recovery", "deploy/recovery.toml"),
        policy = "return { leader_hold_s = 1 }",
        baselineMachines = machines,
        maxMachines = machines,
    )

    @Test
    fun `after a total outage exactly the lost tasks are started and exactly the tasks of jobs without a record are stopped`() {
        val cluster = LoopbackCluster(options)
        val commands = ArrayList<Pair<String, String>>()
        var lostTasks = emptySet<String>()
        var unrecordedTasks = emptySet<String>()
        var adoptedCount = 0
        cluster.runScenario {
            val world = cluster.world
            val tasks = machines * 2
            world.users.submit(
                SimJob("req-000001", "north", tasks, 1.0, false, false, false, false, RUN_MICROS, staggerMicros = 20_000),
                null,
            )
            world.users.submit(
                SimJob("req-000002", "south", tasks / 4, 1.0, false, false, false, false, RUN_MICROS, staggerMicros = 20_000),
                null,
            )
            fun unfinishedTasks() = world.workers.values.flatMap { it.tasks.values }.filter { it.status != "ended" }
            assertTrue(
                cluster.await(STARTUP_TIMEOUT_MILLIS) { unfinishedTasks().size + world.completedTasks.size == tasks + tasks / 4 },
                "not all tasks are running or completed in time",
            )
            repeat(CONTROLLER_COUNT) { cluster.kill(it) }
            val partitioned = world.workers.values.filter { it.tasks.isNotEmpty() }.take(machines / 25)
            lostTasks = partitioned.flatMapTo(HashSet()) { machine -> machine.tasks.values.map { "${it.job}/${it.index}" } }
            partitioned.forEach { it.isPartitioned = true }
            val workersWithUnrecordedTasks = world.workers.values.filter { it !in partitioned }.take(machines / 50)
            unrecordedTasks = workersWithUnrecordedTasks.mapIndexedTo(HashSet()) { index, machine ->
                val job = SimJob("req-99%04d".format(index), "north", 1, 0.0, false, false, false, false, 300_000_000)
                world.jobs[job.id] = job
                machine.startUnrecordedTask(job)
                "${job.id}/0"
            }
            adoptedCount = unfinishedTasks().size - lostTasks.size - unrecordedTasks.size
            world.onLeaseExpiry = { expired -> lostTasks = lostTasks + expired }
            world.onCommand = { _, verb, task -> commands += verb to task.substringBefore('#') }
            delay(OUTAGE_MILLIS)
            repeat(CONTROLLER_COUNT) { cluster.start(it) }
            cluster.await(COMPLETION_TIMEOUT_MILLIS) { world.jobs.values.all { !it.accepted || it.acknowledgedStatus == "done" } }
        }
        val byVerb = commands.groupBy({ it.first }, { it.second })
        val started = byVerb["start"].orEmpty()
        val stopped = byVerb["halt"].orEmpty()
        println("seed $seed, $machines workers, $adoptedCount tasks running at the outage of $OUTAGE_MILLIS ms:")
        println(
            "  differences: ${(lostTasks - unrecordedTasks).size} tasks lost, " +
                "${(unrecordedTasks - lostTasks).size} tasks of jobs without a record",
        )
        println("  commands: ${started.size} starts, ${stopped.size} stops, ${byVerb["clear"].orEmpty().size} acknowledgements")
        println(
            "  jobs done: ${cluster.world.jobs.values.count { it.acknowledgedStatus == "done" }} of 2; " +
                "violations: ${cluster.world.violations}",
        )
        assertEquals(emptyList<Violation>(), cluster.world.violations)
        assertEquals(2, cluster.world.jobs.values.count { it.acknowledgedStatus == "done" })
        assertEquals(lostTasks - unrecordedTasks, started.toSet(), "tasks started after the outage must be the lost ones")
        assertEquals(unrecordedTasks - lostTasks, stopped.toSet(), "tasks stopped after the outage must be those of jobs without a record")
    }

    private companion object {
        const val CONTROLLER_COUNT = 3
        const val RUN_MICROS = 30_000_000L
        const val OUTAGE_MILLIS = 2_000L
        const val STARTUP_TIMEOUT_MILLIS = 60_000L
        const val COMPLETION_TIMEOUT_MILLIS = 120_000L
    }
}
