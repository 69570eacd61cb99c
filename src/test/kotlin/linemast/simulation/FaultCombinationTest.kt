package linemast.simulation

import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource

/** Faults that meet, each brought about on purpose; the rules are checked by [SimWorld] all the while. */
class FaultCombinationTest {
    /**
     * The store refuses the leader alone, or leaves its watches hanging while its renewals work; others confirm
     * cancellations; then the store is down for all for longer than a cancellation has. What bounds the answers is what
     * the leader knows, not what it renews.
     */
    @ParameterizedTest
    @ValueSource(ints = [1, 2, 3, 4, 5, 6, 7, 8, 9])
    fun `cancellations that the leader cannot know end in time`(seed: Int) {
        println("seed $seed")
        val world = simulate(seed) { world ->
            val jobs = List(3) { sweep("req-90000$it", runMicros = 200_000_000) }
            jobs.forEach { world.user(it, null) }
            delay(20_000)
            assertTrue(world.starts > 0)
            val leader = "mast-${leaderOf(world)}"
            if (seed % 3 != 0) world.store.refused += leader
            if (seed % 3 != 1) world.store.watchesHang += leader
            if (seed % 3 == 2) {
                delay(100)
                world.store.refused -= leader
            }
            jobs.forEach { world.cancel(it, world.random.nextLong(1_000)) }
            delay(1_500 + world.random.nextLong(12_000))
            world.store.startOutage()
            delay(50_000)
            world.store.endOutage()
            world.store.refused.clear()
            world.store.watchesHang.clear()
            delay(30_000)
            assertEquals(jobs.map { "withdrawn" }, jobs.map { it.told })
        }
        assertEquals(emptyList<String>(), world.broken)
    }

    @ParameterizedTest
    @ValueSource(ints = [41, 42])
    fun `a cancellation, a question and a repeated submission meet the end of the last task`(seed: Int) = meet(seed) { world ->
        world.cancelledAtEnd = 0.8
        world.store.lostAnswers = if (seed % 2 == 0) 0.1 else 0.0
        repeat(25) { number ->
            world.user(sweep("req-91%04d".format(number), runMicros = 2_000_000, taskCount = 1 + number % 3), null)
            launch { repeat(4) { world.sendUnusualRequests() } }
            delay(1_000)
        }
        world.store.lostAnswers = 0.0
    }

    @ParameterizedTest
    @ValueSource(ints = [43, 44])
    fun `all controllers are away for longer than a lease`(seed: Int) = meet(seed) { world ->
        fill(world, runMicros = 30_000_000)
        delay(10_000)
        repeat(3) { world.killNode(it) }
        delay(if (seed % 2 == 0) 9_000 else 25_000)
        world.jobs.values.take(2).forEach { world.cancel(it, 0) }
        repeat(3) {
            delay(world.random.nextLong(700))
            world.startNode(it)
        }
        delay(10_000)
    }

    @ParameterizedTest
    @ValueSource(ints = [45, 46])
    fun `there is more work than room, urgent and not, over slow links`(seed: Int) = meet(seed) { world ->
        world.maxLatencyMillis = 1_500
        repeat(12) { number ->
            val team = if (number % 2 == 0) "north" else "south"
            val gang = number % 3 == 0
            world.user(
                SimJob("req-92%04d".format(number), team, if (gang) 3 else 30, if (gang) 4.0 else 1.0, gang, gang, false, true, 9_000_000),
                null,
            )
            delay(1_000)
        }
        world.cancel(world.jobs.values.first(), 5_000)
        delay(60_000)
        world.maxLatencyMillis = 10
    }

    @ParameterizedTest
    @ValueSource(ints = [47, 48, 49])
    fun `a team is at its limit when the leader changes, machines cannot be asked, and a cancellation falls in`(seed: Int) =
        meet(seed) { world ->
            val first = sweep("req-930000", runMicros = 60_000_000, taskCount = 24)
            world.user(first, null)
            delay(12_000)
            val silent = world.workers.values.filter { it.tasks.isNotEmpty() }.take(3)
            silent.forEach { if (seed % 2 == 0) it.mute = true else it.hungUntilMicros = world.clock.nowMicros() + 20_000_000 }
            world.user(sweep("req-930001", runMicros = 5_000_000, taskCount = 24), null)
            launch { restart(world, leaderOf(world), 1_000) }
            delay(world.random.nextLong(6_000))
            world.cancel(first, 0)
            delay(25_000)
            silent.forEach { it.mute = false }
        }

    @ParameterizedTest
    @ValueSource(ints = [50, 51])
    fun `jobs bound to one zone lose machines`(seed: Int) = meet(seed) { world ->
        val array = SimJob("req-940000", "north", 10, 1.0, gang = false, sameZone = true, spread = false, spot = true, 20_000_000)
        val gang = SimJob("req-940001", "south", 2, 4.0, gang = true, sameZone = true, spread = false, spot = true, 20_000_000)
        val spread = SimJob("req-940002", "north", 5, 1.0, gang = false, sameZone = false, spread = true, spot = true, 20_000_000)
        listOf(array, gang, spread).forEach { world.user(it, null) }
        repeat(4) {
            delay(8_000)
            val used = world.workers.values.filter { it.tasks.isNotEmpty() }.shuffled(world.random)
            used.take(1).forEach { world.removeMachine(it.name) }
            used.drop(1).take(2).forEach { it.hungUntilMicros = world.clock.nowMicros() + world.random.nextLong(12_000_000) }
            if (it == 2) launch { restart(world, leaderOf(world).coerceAtLeast(0), 300) }
        }
    }

    @ParameterizedTest
    @ValueSource(ints = [52, 53, 54])
    fun `a zone with workers and a controller is cut off for longer than a lease`(seed: Int) = meet(seed) { world ->
        fill(world, runMicros = 25_000_000)
        delay(12_000)
        world.zoneCut = "a"
        world.store.refused += "mast-0"
        world.alone += 0
        world.jobs.values.take(2).forEach { world.cancel(it, world.random.nextLong(8_000)) }
        delay(10_000 + world.random.nextLong(25_000))
        world.zoneCut = null
        world.store.refused -= "mast-0"
        world.alone -= 0
    }

    @ParameterizedTest
    @ValueSource(ints = [55, 56, 57])
    fun `leaders change ten times in two minutes, also inside an outage`(seed: Int) = meet(seed) { world ->
        fill(world, runMicros = 20_000_000)
        repeat(10) { change ->
            delay(11_000)
            if (change == 4) world.store.startOutage()
            if (change == 6) world.store.endOutage()
            val leader = leaderOf(world).coerceAtLeast(0)
            launch { restart(world, leader, if (seed % 2 == 0) 200 else 3_000) }
            if (change == 5) world.cancel(world.jobs.values.last(), 0)
        }
    }

    @ParameterizedTest
    @ValueSource(ints = [58, 59])
    fun `the state service is slow, then refuses the leader, then all, while users cancel and ask`(seed: Int) = meet(seed) { world ->
        fill(world, runMicros = 40_000_000)
        delay(8_000)
        world.store.maxLatencyMillis = 1_500
        delay(5_000)
        world.jobs.values.take(3).forEach { world.cancel(it, world.random.nextLong(4_000)) }
        launch { repeat(5) { world.sendUnusualRequests() } }
        world.store.refused += "mast-${leaderOf(world)}"
        delay(world.random.nextLong(5_000))
        world.store.startOutage()
        delay(35_000)
        world.store.endOutage()
        world.store.refused.clear()
        world.store.maxLatencyMillis = 12
    }

    @ParameterizedTest
    @ValueSource(ints = [60, 61, 62, 63])
    fun `a leader ends while machines with long tasks are not reached or do not hear`(seed: Int) = meet(seed) { world ->
        fill(world, runMicros = 45_000_000)
        delay(10_000)
        val lost = world.workers.values.filter { it.tasks.isNotEmpty() }.take(3)
        lost.forEach { if (seed % 2 == 0) it.deaf = true else it.mute = true }
        delay(world.random.nextLong(3_000))
        launch { restart(world, leaderOf(world), 500) }
        world.jobs.values.take(1).forEach { world.cancel(it, 3_000) }
        delay(5_000 + world.random.nextLong(30_000))
        lost.forEach {
            it.deaf = false
            it.mute = false
        }
    }

    @ParameterizedTest
    @ValueSource(ints = [64, 65])
    fun `commands and answers are held up for seconds, and machines go on`(seed: Int) = meet(seed) { world ->
        fill(world, runMicros = 10_000_000)
        repeat(6) {
            delay(4_000)
            world.freeze(world.random.nextInt(3), world.random.nextLong(1_000_000, 9_000_000))
            world.workers.values.shuffled(world.random).take(2).forEach {
                it.hungUntilMicros =
                    world.clock.nowMicros() + world.random.nextLong(7_500_000)
            }
            if (it == 3) world.cancel(world.jobs.values.first(), 0)
        }
    }

    @ParameterizedTest
    @ValueSource(ints = [66, 67])
    fun `a leader cut from store and peers keeps its workers while jobs are cancelled through the new one`(seed: Int) =
        meet(seed) { world ->
            fill(world, runMicros = 50_000_000)
            delay(10_000)
            val leader = leaderOf(world)
            world.store.refused += "mast-$leader"
            world.alone += leader
            world.jobs.values.take(2).forEach { world.cancel(it, world.random.nextLong(10_000)) }
            delay(35_000)
            world.store.refused -= "mast-$leader"
            world.alone -= leader
        }

    @ParameterizedTest
    @ValueSource(ints = [68, 69, 70])
    fun `transactions without an answer are carried out late, after newer ones`(seed: Int) = meet(seed) { world ->
        world.store.lostAnswers = 0.35
        repeat(10) { number ->
            val job = sweep("req-95%04d".format(number), runMicros = 4_000_000, taskCount = 3)
            world.user(job, if (number % 3 == 0) world.random.nextLong(9_000) else null)
            delay(4_000)
            if (number == 5) launch { restart(world, leaderOf(world).coerceAtLeast(0), 200) }
        }
        world.store.lostAnswers = 0.0
        delay(30_000)
    }

    @ParameterizedTest
    @ValueSource(ints = [71, 72, 73])
    fun `controllers hand over and back, all end, and one returns within a second`(seed: Int) = meet(seed) { world ->
        fill(world, runMicros = 15_000_000)
        repeat(4) {
            delay(6_000)
            repeat(3) { at -> world.killNode(at) }
            delay(world.random.nextLong(50, 900))
            world.startNode(world.random.nextInt(3))
            delay(world.random.nextLong(4_000))
            repeat(3) { at -> world.startNode(at) }
        }
    }

    @ParameterizedTest
    @ValueSource(ints = [74, 75, 76])
    fun `heartbeats are held back until a new leader has acted`(seed: Int) = meet(seed) { world ->
        world.lateCopies = 0.5
        fill(world, runMicros = 12_000_000)
        repeat(4) {
            delay(7_000)
            world.workers.values.shuffled(world.random).first().reboot()
            launch { restart(world, leaderOf(world).coerceAtLeast(0), 100) }
        }
        delay(10_000)
        world.lateCopies = 0.0
        delay(30_000)
    }

    @ParameterizedTest
    @ValueSource(ints = [77, 78, 79])
    fun `jobs of two or three tasks end far apart across a change of leader`(seed: Int) = meet(seed) { world ->
        repeat(6) { number ->
            val job =
                SimJob(
                    "req-96%04d".format(
                        number,
                    ),
                    "north", 2 + number % 2, 1.0, false, false, false, true, 4_000_000, staggerMicros = 14_000_000,
                )
            world.user(job, null)
        }
        repeat(3) {
            delay(9_000)
            launch { restart(world, leaderOf(world).coerceAtLeast(0), 400) }
            if (seed % 2 ==
                0
            ) {
                world.removeMachine(world.workers.values.filter { it.tasks.isNotEmpty() }.shuffled(world.random).first().name)
            }
        }
    }

    @ParameterizedTest
    @ValueSource(ints = [80, 81])
    fun `workers reach no controller while their jobs are cancelled`(seed: Int) = meet(seed) { world ->
        fill(world, runMicros = 50_000_000)
        delay(10_000)
        val mute = world.workers.values.shuffled(world.random).take(if (seed % 2 == 0) 3 else world.workers.size)
        mute.forEach { it.mute = true }
        world.jobs.values.take(2).forEach { world.cancel(it, world.random.nextLong(3_000)) }
        delay(40_000)
        mute.forEach { it.mute = false }
    }

    /** The checks of the protocol can fail: a job that never gets an answer, and one that never starts, are noticed. */
    @Test
    fun `what is left waiting is noticed`() {
        val world = simulate(seed = 82) { world ->
            world.user(sweep("req-970000", runMicros = 30_000_000), null)
            delay(10_000)
            world.calmSinceMicros = world.clock.nowMicros()
            repeat(3) { world.killNode(it) }
            delay(120_000)
        }
        assertTrue(world.broken.any { "left waiting" in it }, "not noticed: ${world.broken}")
    }

    /** Arrays and gangs of both teams, more than the standing machines run at once. */
    private suspend fun fill(world: SimWorld, runMicros: Long) = repeat(6) { number ->
        val gang = number % 3 == 2
        val team = if (number % 2 == 0) "north" else "south"
        world.user(
            SimJob("req-90%04d".format(number), team, if (gang) 2 else 8, if (gang) 4.0 else 1.0, gang, gang, false, true, runMicros),
            null,
        )
        delay(200)
    }

    /** Brings [fault] about; when it is over all accepted jobs have to end, none left waiting, and no rule may break. */
    private fun meet(seed: Int, trouble: suspend TestScope.(SimWorld) -> Unit) {
        val world = simulate(seed) { world ->
            trouble(world)
            world.calmSinceMicros = world.clock.nowMicros()
            delay(200_000)
        }
        println("seed $seed: ${world.starts} starts, ${world.completed.size} tasks done, ${world.jobs.size} jobs")
        assertEquals(emptyList<String>(), world.broken)
        assertEquals(emptyList<String>(), world.jobs.values.filter { it.told == null }.map { it.id }, "without an end")
        assertTrue(world.completed.isNotEmpty())
    }

    private fun sweep(id: String, runMicros: Long, taskCount: Int = 6, team: String = "north") =
        SimJob(id, team, taskCount, 1.0, gang = false, sameZone = false, spread = false, spot = true, runMicros)
}
