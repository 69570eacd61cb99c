package linemast.simulation

import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import linemast.duties.CloudActionHistoryAudit
import linemast.settings.AdmissionSettings
import linemast.settings.DutySettings
import linemast.settings.Features
import linemast.settings.RecoverySettings
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource
import java.util.stream.IntStream

/** Three controllers under generated faults, in virtual time; [InvariantChecks] checks the rules throughout. */
class FaultSimulationTest {
    @ParameterizedTest
    @MethodSource("seeds")
    fun `rules hold under generated faults and all accepted jobs end`(seed: Int) {
        assertRulesHoldAndJobsEnd(runScenario(seed, controllersLeaseSeconds = LEASE_SECONDS), seed)
    }

    /** The same faults with single-holder duties, fair admission and recovery enabled. */
    @ParameterizedTest
    @MethodSource("seedsOfFeatures")
    fun `rules hold under generated faults with all optional parts enabled`(seed: Int) {
        val world =
            runScenario(seed, controllersLeaseSeconds = LEASE_SECONDS, Features(DutySettings(), AdmissionSettings(), RecoverySettings()))
        assertRulesHoldAndJobsEnd(world, seed)
        assertEquals(
            emptyList<Any>(),
            CloudActionHistoryAudit(world).faults().map { (action, fault) ->
                "$fault: ${action.scaleOutRequest ?: action.removedMachines}"
            },
        )
    }

    private fun assertRulesHoldAndJobsEnd(world: SimWorld, seed: Int) {
        println("seed $seed: ${world.startCount} starts, ${world.completedTasks.size} tasks done, ${world.jobs.size} jobs")
        assertEquals(emptyList<Violation>(), world.violations)
        assertEquals(emptyList<String>(), world.store.oversizedTransactions)
        val unfinishedJobs = world.jobs.values.filter { it.acknowledgedStatus == null }.map { it.id }
        assertEquals(emptyList<String>(), unfinishedJobs)
        assertTrue(world.completedTasks.isNotEmpty())
    }

    /** Shows that the checks can fail: controllers that assume leases far shorter than they are start running tasks again. */
    @Test
    fun `tasks that run twice are reported if controllers assume leases shorter than they are`() {
        val violations = (1..4).flatMap { runScenario(it, controllersLeaseSeconds = 0.5).violations }
        println("controllers that assume leases of 0.5 s: ${violations.size} violations, the first is ${violations.firstOrNull()}")
        assertTrue(
            violations.any { it.invariant == Invariant.TASK_RUNS_ONCE || it.invariant == Invariant.QUOTA },
            "neither a task that runs twice nor an exceeded quota was reported: $violations",
        )
    }

    /**
     * A leader in degraded mode responds to heartbeats, and each response renews the lease of a worker. If the leader does not
     * record these renewals, it assumes after an outage longer than a lease that running tasks are lost, and starts them again.
     */
    @Test
    fun `responses to heartbeats in degraded mode count as renewals of worker leases`() {
        val world = simulate(seed = 1) { world ->
            repeat(4) { number ->
                val job = SimJob("req-90000$number", "north", 12, 1.0, false, false, false, true, 40_000_000)
                world.users.submit(job, null)
            }
            repeat(3) {
                delay(25_000)
                world.store.startOutage()
                delay(14_000)
                world.store.endOutage()
            }
            delay(FAULT_FREE_MILLIS)
        }
        assertEquals(emptyList<Violation>(), world.violations)
        assertEquals(48, world.completedTasks.size)
    }

    /**
     * The workers still send their heartbeats to the partitioned leader. If the leader kept them in degraded mode, no heartbeats
     * would reach the next leader for that time.
     */
    @Test
    fun `a leader that is partitioned from store and peers redirects its workers`() {
        val world = simulate(seed = 2) { world ->
            world.users.submit(SimJob("req-900001", "north", 12, 1.0, false, false, false, true, 30_000_000), null)
            delay(15_000)
            val leader = leaderOf(world)
            world.store.refusedControllers += "mast-$leader"
            world.network.partitioned += leader
            delay(15_000)
            assertEquals(setOf(2L), world.workers.values.map { it.fencingToken }.toSet(), "all workers have the next leader's token")
            assertTrue(leaderOf(world) != leader)
            delay(FAULT_FREE_MILLIS)
        }
        assertEquals(emptyList<Violation>(), world.violations)
        assertEquals(12, world.completedTasks.size)
        assertEquals(12, world.startCount, "each task is started once")
    }

    @Test
    fun `a leader steps down if heartbeats do not reach it`() {
        val world = simulate(seed = 3) { world ->
            delay(10_000)
            val leader = leaderOf(world)
            world.network.unreachableForWorkers += leader
            delay(12_000)
            assertTrue(leaderOf(world) != leader, "mast-$leader still leads")
            world.users.submit(SimJob("req-900001", "north", 12, 1.0, false, false, false, true, 5_000_000), null)
            delay(30_000)
            assertEquals(12, world.completedTasks.size)
        }
        assertEquals(emptyList<Violation>(), world.violations)
    }

    /** Many machines are removed, paused for shorter and for longer than a lease, or restarted, while controllers restart. */
    @Test
    fun `rules hold under faults on a fleet of hundreds of machines`() {
        val seed = 31
        val world = simulate(seed, scale = 50) { world ->
            world.network.delayedDuplicateProbability = 0.05
            world.store.delayedDuplicateProbability = 0.05
            repeat(16) { number ->
                val gang = number % 2 == 0
                val team = if (number % 4 < 2) "north" else "south"
                val taskCount = if (gang) 2 + number % 3 else 200 + 40 * number
                val job = SimJob("req-80%04d".format(number), team, taskCount, if (gang) 4.0 else 1.0, gang, gang, false, !gang, 12_000_000)
                world.users.submit(job, if (number == 7) 20_000 else null)
                delay(1_000)
            }
            delay(5_000)
            repeat(3) { controller -> backgroundScope.launch { restartController(world, controller, 100L + 900 * controller) } }
            delay(10_000)
            world.workers.keys.shuffled(world.random).take(40).forEach(world::removeMachine)
            world.workers.values.shuffled(world.random).take(40).forEachIndexed { at, machine ->
                machine.pausedUntilMicros = world.clock.nowMicros() + if (at % 2 == 0) 4_000_000 else 14_000_000
            }
            delay(10_000)
            world.workers.values.shuffled(world.random).take(20).forEach { it.reboot() }
            world.network.pause(leaderOf(world).coerceAtLeast(0), 6_000_000)
            delay(12_000)
            world.store.startOutage()
            delay(3_000)
            restartController(world, leaderOf(world).coerceAtLeast(0), 200)
            delay(7_000)
            world.store.endOutage()
            delay(120_000)
        }
        println(
            "seed $seed: ${world.startCount} starts, ${world.completedTasks.size} tasks done, ${world.workers.size} machines at the end",
        )
        assertEquals(emptyList<Violation>(), world.violations)
        assertEquals(emptyList<String>(), world.jobs.values.filter { it.acknowledgedStatus == null }.map { it.id })
        assertEquals(16, world.jobs.values.count { it.accepted })
    }

    private fun runScenario(seed: Int, controllersLeaseSeconds: Double, features: Features = Features()): SimWorld =
        simulate(seed, controllersLeaseSeconds, features = features) { world -> runUnderFaults(world) }

    private suspend fun TestScope.runUnderFaults(world: SimWorld) {
        backgroundScope.launch { submitGeneratedJobs(world) }
        injectGeneratedFaults(world)
        delay(FAULT_FREE_MILLIS)
    }

    companion object {
        /** Returns the seeds of generated faults; `-Dlinemast.seeds=13-200` selects others. */
        @JvmStatic
        fun seeds(): IntStream = seedRange("linemast.seeds", "1-12")

        /** Returns the seeds of the test with all optional parts; `-Dlinemast.featureSeeds=300-400` selects others. */
        @JvmStatic
        fun seedsOfFeatures(): IntStream = seedRange("linemast.featureSeeds", "201-206")

        private fun seedRange(property: String, defaultRange: String): IntStream {
            val (first, last) = System.getProperty(property, defaultRange).split('-').map { it.toInt() }
            return IntStream.rangeClosed(first, last)
        }

        private const val FAULT_FREE_MILLIS = 300_000L
    }
}
