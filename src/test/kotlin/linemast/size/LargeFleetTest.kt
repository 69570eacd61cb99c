package linemast.size

import linemast.domain.MachineType
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import kotlin.random.Random

/**
 * Guards against a leader that, with thousands of machines, starts a task twice or does not complete a very large job when machines are
 * lost and the leader changes. The printed figures serve for comparison; the counts of jobs are asserted.
 */
class LargeFleetTest {
    @Test
    fun `on 4,000 machines, a tenth of which is lost, no task runs twice and a job of 100,000 tasks is done after a failover`() =
        runScenario(machines = 4_000)

    private fun runScenario(machines: Int) {
        val seed = 31
        val random = Random(seed)
        val baselineMachines = List(machines * 3 / 4) { SMALL to ZONES[it % ZONES.size] }
        val settings = fleetScenarioSettings(TEAMS, cpus = machines * 2, maxVcpus = machines * 8)
        val scenario = FleetScenario(settings, listOf(SMALL, LARGE), baselineMachines, seed, maxMachines = machines)
        var submitted = 0
        fun nextId() = "req-%06d".format(submitted++)
        val largestJob = FleetScenario.spec(nextId(), "sweeps", "t1", false, 100_000, 1.0, 0.5, "s0", 2.0, 100.0)
        scenario.runUntil(5_000_000)
        scenario.submit(largestJob, 2_000_000)
        for (second in 5 until DURATION_SECONDS) {
            scenario.runUntil(second * 1_000_000L)
            if (second % 3 == 0) {
                val tasks = random.nextInt(1, 12)
                val team = TEAMS.random(random)
                scenario.submit(
                    FleetScenario.spec(nextId(), "gangs", team, true, tasks, 6.0, 8.0, "g${random.nextInt(5)}", 20.0, null),
                    20_000_000,
                )
            }
            if (second < ARRAY_SUBMISSION_SECONDS && second % 2 == 0) {
                val tasks = random.nextInt(100, 800)
                val team = TEAMS.random(random)
                scenario.submit(
                    FleetScenario.spec(nextId(), "sweeps", team, false, tasks, 2.0, 2.0, "s${random.nextInt(8)}", 20.0, 90.0),
                    20_000_000,
                )
            }
            if (second == MACHINE_LOSS_SECOND) scenario.killRandomWorkers(machines / 10)
            if (second == FAILOVER_SECOND) scenario.failOver()
        }
        println(
            "seed $seed: ${scenario.starts.size} task starts, ${scenario.lostTaskCount} running tasks lost, " +
                "${scenario.completedJobs.size} of $submitted jobs done",
        )
        println(
            "time of the decisions in ms: total ${scenario.totalNanos.mapValues { it.value / 1_000_000 }}, " +
                "longest ${scenario.longestNanos.mapValues { it.value / 1_000_000 }}",
        )
        assertEquals(emptyList<String>(), scenario.violations)
        assertTrue(largestJob.id in scenario.completedJobs, "the job of 100,000 tasks is not done")
        assertTrue(
            scenario.completedJobs.size > submitted * 3 / 4,
            "only ${scenario.completedJobs.size} of $submitted jobs are done",
        )
    }

    private companion object {
        const val DURATION_SECONDS = 150
        const val ARRAY_SUBMISSION_SECONDS = 90
        const val MACHINE_LOSS_SECOND = 40
        const val FAILOVER_SECOND = 60
        val ZONES = listOf("a", "b", "c", "d")
        val TEAMS = listOf("t1", "t2", "t3")
        val SMALL = MachineType("small", 8.0, 0.0, 16.0, 50.0, 0.2, 0.42, 0.1, 25_000_000, ZONES)
        val LARGE = MachineType("large", 32.0, 0.0, 64.0, 50.0, 0.2, 1.7, 0.4, 30_000_000, ZONES)
    }
}
