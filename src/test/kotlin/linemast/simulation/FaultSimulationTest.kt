package linemast.simulation

import kotlinx.coroutines.CoroutineScope
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

/** Three controllers under generated faults, in virtual time; the rules are checked after every step. */
class FaultSimulationTest {
    @ParameterizedTest
    @MethodSource("seeds")
    fun `rules hold under generated faults and all accepted work ends`(seed: Int) {
        assertAllWell(play(seed, controllersLeaseSeconds = LEASE_SECONDS), seed)
    }

    /** The same faults meet single-holder duties and fair admission. */
    @ParameterizedTest
    @MethodSource("seedsOfFeatures")
    fun `rules hold under generated faults with all optional parts enabled`(seed: Int) {
        val world = play(seed, controllersLeaseSeconds = LEASE_SECONDS, Features(DutySettings(), AdmissionSettings(), RecoverySettings()))
        assertAllWell(world, seed)
        assertEquals(
            emptyList<Any>(),
            CloudActionHistoryAudit(world).faults().map { (order, fault) ->
                "$fault: ${order.rental ?: order.returned}"
            },
        )
    }

    private fun assertAllWell(world: SimWorld, seed: Int) {
        println("seed $seed: ${world.starts} starts, ${world.completed.size} tasks done, ${world.jobs.size} jobs")
        assertEquals(emptyList<String>(), world.broken)
        assertEquals(emptyList<String>(), world.store.tooLarge)
        val open = world.jobs.values.filter { it.told == null }.map { it.id }
        assertEquals(emptyList<String>(), open)
        assertTrue(world.completed.isNotEmpty())
    }

    /** Controllers that believe leases to be far shorter than they are must be caught, or the checks are blind. */
    @Test
    fun `a broken guard is noticed`() {
        val seen = (1..4).flatMap { play(it, controllersLeaseSeconds = 0.5).broken }
        println("with a broken guard: ${seen.size} broken rules, first ${seen.firstOrNull()}")
        assertTrue(seen.any { "ran_twice" in it || "quota" in it }, "no broken rule was seen: $seen")
    }

    /**
     * A leader in its grace answers reports, and each answer renews a lease. It once did not count those
     * answers: after an outage longer than a lease it took running tasks for lost and started them again.
     */
    @Test
    fun `answers given in grace count as renewals`() {
        val world = simulate(seed = 1) { world ->
            repeat(4) { number ->
                val job = SimJob("req-90000$number", "north", 12, 1.0, false, false, false, true, 40_000_000)
                world.user(job, null)
            }
            repeat(3) {
                delay(25_000)
                world.store.startOutage()
                delay(14_000)
                world.store.endOutage()
            }
            delay(CALM_MILLIS)
        }
        assertEquals(emptyList<String>(), world.broken)
        assertEquals(48, world.completed.size)
    }

    /** Its workers go on reporting to it; held in its grace they would be lost to the new leader for that long. */
    @Test
    fun `a leader without the store and its peers sends its workers away`() {
        val world = simulate(seed = 2) { world ->
            world.user(SimJob("req-900001", "north", 12, 1.0, false, false, false, true, 30_000_000), null)
            delay(15_000)
            val leader = leaderOf(world)
            world.store.refused += "mast-$leader"
            world.alone += leader
            delay(15_000)
            assertEquals(setOf(2L), world.workers.values.map { it.fencingToken }.toSet(), "all workers are with the new leader")
            assertTrue(leaderOf(world) != leader)
            delay(CALM_MILLIS)
        }
        assertEquals(emptyList<String>(), world.broken)
        assertEquals(12, world.completed.size)
        assertEquals(12, world.starts, "no task was lost on the way")
    }

    @Test
    fun `a leader that workers do not get through to gives the leadership away`() {
        val world = simulate(seed = 3) { world ->
            delay(10_000)
            val leader = leaderOf(world)
            world.cutFromWorkers += leader
            delay(12_000)
            assertTrue(leaderOf(world) != leader, "mast-$leader still leads")
            world.user(SimJob("req-900001", "north", 12, 1.0, false, false, false, true, 5_000_000), null)
            delay(30_000)
            assertEquals(12, world.completed.size)
        }
        assertEquals(emptyList<String>(), world.broken)
    }

    /** Many machines at once: they die, hang for longer and shorter than a lease, and are back at once, while controllers end. */
    @Test
    fun `rules hold on a fleet of hundreds of machines`() {
        val seed = 31
        val world = simulate(seed, size = 50) { world ->
            world.lateCopies = 0.05
            world.store.repeats = 0.05
            repeat(16) { number ->
                val gang = number % 2 == 0
                val team = if (number % 4 < 2) "north" else "south"
                val taskCount = if (gang) 2 + number % 3 else 200 + 40 * number
                val job = SimJob("req-80%04d".format(number), team, taskCount, if (gang) 4.0 else 1.0, gang, gang, false, !gang, 12_000_000)
                world.user(job, if (number == 7) 20_000 else null)
                delay(1_000)
            }
            delay(5_000)
            repeat(3) { at -> backgroundScope.launch { restart(world, at, 100L + 900 * at) } }
            delay(10_000)
            world.workers.keys.shuffled(world.random).take(40).forEach(world::removeMachine)
            world.workers.values.shuffled(world.random).take(40).forEachIndexed { at, machine ->
                machine.hungUntilMicros = world.clock.nowMicros() + if (at % 2 == 0) 4_000_000 else 14_000_000
            }
            delay(10_000)
            world.workers.values.shuffled(world.random).take(20).forEach { it.reboot() }
            world.freeze(leaderOf(world).coerceAtLeast(0), 6_000_000)
            delay(12_000)
            world.store.startOutage()
            delay(3_000)
            restart(world, leaderOf(world).coerceAtLeast(0), 200)
            delay(7_000)
            world.store.endOutage()
            delay(120_000)
        }
        println("seed $seed: ${world.starts} starts, ${world.completed.size} tasks done, ${world.workers.size} machines at the end")
        assertEquals(emptyList<String>(), world.broken)
        assertEquals(emptyList<String>(), world.jobs.values.filter { it.told == null }.map { it.id })
        assertEquals(16, world.jobs.values.count { it.accepted })
    }

    private fun play(seed: Int, controllersLeaseSeconds: Double, features: Features = Features()): SimWorld =
        simulate(seed, controllersLeaseSeconds, features = features) { world -> playFaults(world) }

    private suspend fun TestScope.playFaults(world: SimWorld) {
        backgroundScope.launch { submissions(world) }
        faults(world)
        delay(CALM_MILLIS)
    }

    private suspend fun CoroutineScope.submissions(world: SimWorld) {
        repeat(JOBS) { number ->
            val gang = world.random.nextInt(3) == 0
            val job = SimJob(
                id = "req-%06d".format(number),
                team = if (world.random.nextBoolean()) "north" else "south",
                taskCount = if (gang) 1 + world.random.nextInt(3) else 1 + world.random.nextInt(30),
                vcpus = if (gang) 4.0 else 1.0,
                gang = gang,
                sameZone = world.random.nextInt(3) == 0,
                spread = !gang && world.random.nextInt(4) == 0,
                spot = world.random.nextBoolean(),
                runMicros = world.random.nextLong(2_000_000, 15_000_000),
            )
            world.user(job, if (world.random.nextInt(5) == 0) world.random.nextLong(20_000) else null)
            if (number % 6 == 0) {
                val stages = diamond("req-7%04d".format(number), world, job.id)
                world.pipeline(stages, lastOnlyThen = world.random.nextInt(4) == 0)
                if (world.random.nextInt(3) == 0) launch { cancelOnce(world, stages.random(world.random)) }
            }
            delay(world.random.nextLong(1_000, 8_000))
        }
    }

    /** One job, two that need it, one that needs both; the first needs an earlier job too, now and then. */
    private fun diamond(id: String, world: SimWorld, earlier: String): List<SimJob> {
        fun stage(at: Int, gang: Boolean, dependencies: List<String>) = SimJob(
            "$id$at", "north", if (gang) 2 else 4, if (gang) 2.0 else 1.0, gang, gang, false, true,
            world.random.nextLong(1_000_000, 6_000_000), dependencies = dependencies,
        )
        return listOf(
            stage(0, false, if (world.random.nextInt(3) == 0) listOf(earlier) else emptyList()),
            stage(1, false, listOf("${id}0")),
            stage(2, true, listOf("${id}0")),
            stage(3, false, listOf("${id}1", "${id}2")),
        )
    }

    private suspend fun cancelOnce(world: SimWorld, job: SimJob) {
        delay(world.random.nextLong(25_000))
        repeat(60) {
            if (job.accepted) return world.cancel(job, 0)
            delay(1_000)
        }
    }

    private suspend fun TestScope.faults(world: SimWorld) {
        world.networkLoss = 0.02
        world.lateCopies = 0.05
        world.cancelledAtEnd = 0.2
        world.store.lostAnswers = 0.02
        world.store.repeats = 0.05
        backgroundScope.launch {
            delay(world.random.nextLong(FAULTS_MILLIS))
            world.store.valueBytes = 1_536
            world.store.txnOps = 5
        }
        while (testScheduler.currentTime < FAULTS_MILLIS) {
            delay(world.random.nextLong(2_000, 9_000))
            fault(world, backgroundScope)
        }
        world.networkLoss = 0.0
        world.lateCopies = 0.0
        world.store.lostAnswers = 0.0
        world.store.repeats = 0.0
        world.cancelledAtEnd = 0.0
        // The longest fault that may still be on.
        delay(45_000)
        world.calmSinceMicros = world.clock.nowMicros()
    }

    private fun fault(world: SimWorld, scope: CoroutineScope) {
        val random = world.random
        val node = random.nextInt(3)
        val machine = world.workers.values.randomOrNull(random) ?: return
        when (random.nextInt(20)) {
            0, 1 -> scope.launch { restart(world, node, random.nextLong(100, 4_000)) }
            2 -> repeat(3) { at -> scope.launch { restart(world, at, random.nextLong(500, 4_000)) } }
            3 -> if (!world.store.outage) {
                scope.launch {
                    world.store.startOutage()
                    delay(random.nextLong(2_000, 25_000))
                    world.store.endOutage()
                }
            }
            4 -> scope.launch {
                world.store.refused += "mast-$node"
                delay(random.nextLong(3_000, 20_000))
                world.store.refused -= "mast-$node"
            }
            5 -> scope.launch {
                world.cutOff += node
                delay(random.nextLong(3_000, 20_000))
                world.cutOff -= node
            }
            6 -> machine.hungUntilMicros = world.clock.nowMicros() + random.nextLong(1_000_000, 20_000_000)
            7 -> if (world.workers.size > 4) world.removeMachine(machine.name)
            8 -> scope.launch {
                machine.sick = true
                delay(random.nextLong(5_000, 20_000))
                machine.sick = false
            }
            9 -> scope.launch {
                machine.deaf = true
                delay(random.nextLong(5_000, 40_000))
                machine.deaf = false
            }
            // The store and the other controllers are lost, the workers are not.
            10 -> scope.launch {
                world.store.refused += "mast-$node"
                world.alone += node
                delay(random.nextLong(5_000, 40_000))
                world.alone -= node
                world.store.refused -= "mast-$node"
            }
            11 -> scope.launch {
                world.cutFromWorkers += node
                delay(random.nextLong(5_000, 30_000))
                world.cutFromWorkers -= node
            }
            13 -> machine.reboot()
            14 -> world.freeze(node, random.nextLong(1_000_000, 25_000_000))
            15 -> scope.launch {
                machine.mute = true
                delay(random.nextLong(5_000, 40_000))
                machine.mute = false
            }
            // Jobs that run are called off at once, and some of their machines hang.
            16 -> {
                val victims = world.jobs.values.filter { it.accepted && !it.cancelAsked && it.told == null }.shuffled(random).take(2)
                victims.forEach { world.cancel(it, random.nextLong(200)) }
                world.workers.values.filter { worker -> worker.tasks.values.any { task -> victims.any { it.id == task.job } } }.take(3)
                    .forEach { it.hungUntilMicros = world.clock.nowMicros() + random.nextLong(1_000_000, 20_000_000) }
            }
            17 -> scope.launch { repeat(5) { world.sendUnusualRequests() } }
            18 -> scope.launch {
                world.store.watchesHang += "mast-$node"
                delay(random.nextLong(3_000, 30_000))
                world.store.watchesHang -= "mast-$node"
            }
            // Refused alone, then an outage for longer than a cancellation has, with cancellations between the two.
            19 -> if (!world.store.outage) {
                scope.launch {
                    val leader = "mast-${leaderOf(world)}"
                    world.store.refused += leader
                    world.jobs.values.filter {
                        it.accepted && !it.cancelAsked && it.told == null
                    }.take(1).forEach { world.cancel(it, random.nextLong(1_000)) }
                    delay(random.nextLong(500, 6_000))
                    world.store.refused -= leader
                    if (world.store.outage) return@launch
                    world.store.startOutage()
                    delay(random.nextLong(20_000, 45_000))
                    world.store.endOutage()
                }
            }
            12 -> repeat(3) { at -> scope.launch { restart(world, at, random.nextLong(30, 400)) } }
        }
    }

    companion object {
        /** More can be asked for by hand: -Dlinemast.seeds=13-200. */
        @JvmStatic
        fun seeds(): IntStream = seedRange("linemast.seeds", "1-12")

        /** More can be asked for by hand: -Dlinemast.featureSeeds=300-400. */
        @JvmStatic
        fun seedsOfFeatures(): IntStream = seedRange("linemast.featureSeeds", "201-206")

        private fun seedRange(property: String, usual: String): IntStream {
            val (first, last) = System.getProperty(property, usual).split('-').map { it.toInt() }
            return IntStream.rangeClosed(first, last)
        }

        private const val JOBS = 30
        private const val FAULTS_MILLIS = 240_000L
        private const val CALM_MILLIS = 300_000L
    }
}
