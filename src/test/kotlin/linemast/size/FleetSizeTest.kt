package linemast.size

import linemast.domain.MachineType
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import kotlin.random.Random

/**
 * Guards against a leader that, at the size of a whole fleet, starts a task twice or lets jobs wait when machines are lost. The printed
 * figures serve to compare the leader's decisions before and after a change.
 */
class FleetSizeTest {
    @Test
    fun `on hundreds of machines, some of which are lost, no task runs twice and more than half of the arrays and gangs are done`() {
        val seed = 7
        val random = Random(seed)
        val zones = listOf("a", "b", "c", "d")
        val small = MachineType("small", 8.0, 0.0, 32.0, 40.0, 0.8, 0.37, 0.11, 25_000_000, zones)
        val large = MachineType("large", 32.0, 0.0, 64.0, 40.0, 0.8, 1.3, 0.33, 30_000_000, zones)
        val baselineMachines = List(370) { small to zones[it % 4] } + List(120) { large to zones[it % 4] }
        val teams = listOf("t1", "t2", "t3", "t4", "t5")
        val scenario =
            FleetScenario(fleetScenarioSettings(teams, cpus = 1_500, maxVcpus = 4_000), listOf(small, large), baselineMachines, seed)
        var submitted = 0
        fun submitGang() = scenario.submit(
            FleetScenario.spec(
                "req-%06d".format(submitted++), "gangs", teams[random.nextInt(5)], true, 1, 30.0, 51.0, "g${random.nextInt(5)}", 80.0, null,
            ),
            (80e6 * Math.exp(random.nextDouble(-0.7, 0.9))).toLong(),
        )
        fun submitArray() = scenario.submit(
            FleetScenario.spec(
                "req-%06d".format(submitted++), "sweeps", teams[random.nextInt(5)], false,
                (300 * Math.exp(random.nextDouble(-1.0, 1.2))).toInt(),
                random.nextDouble(0.7, 1.3), 1.0, "s${random.nextInt(8)}", 40.0, 100.0,
            ),
            (40e6 * Math.exp(random.nextDouble(-0.7, 0.7))).toLong(),
        )
        scenario.runUntil(5_000_000)
        repeat(40) { submitGang() }
        repeat(15) { submitArray() }
        for (second in 5 until DURATION_SECONDS) {
            scenario.runUntil(second * 1_000_000L)
            if (random.nextDouble() < 0.9) submitGang()
            if (random.nextDouble() < 0.25) submitArray()
            if (second == 90) scenario.killRandomWorkers(60)
        }
        println(
            "seed $seed: ${scenario.starts.size} task starts, ${scenario.lostTaskCount} running tasks lost, " +
                "${scenario.completedJobs.size} of $submitted jobs done, " +
                "hash of the starts ${scenario.starts.hashCode()}",
        )
        println(
            "time of the decisions in ms: total ${scenario.totalNanos.mapValues { it.value / 1_000_000 }}, " +
                "longest ${scenario.longestNanos.mapValues { it.value / 1_000_000 }}",
        )
        assertEquals(emptyList<String>(), scenario.violations)
        assertTrue(scenario.completedJobs.size > submitted / 2, "only ${scenario.completedJobs.size} of $submitted jobs are done")
    }

    private companion object {
        const val DURATION_SECONDS = 180
    }
}
