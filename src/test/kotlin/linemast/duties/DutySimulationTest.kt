package linemast.duties

import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import linemast.settings.DutySettings
import linemast.settings.Features
import linemast.settings.Policy
import linemast.simulation.SimJob
import linemast.simulation.SimWorld
import linemast.simulation.leaderOf
import linemast.simulation.restart
import linemast.simulation.simulate
import linemast.time.Clock
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource
import java.util.stream.IntStream

/** Three controllers whose holder of the duties stands still, is cut off or ends, again and again, in virtual time. */
class DutySimulationTest {
    /** Machines come and go within seconds, so that at every change of the holder some action is under way. */
    private val busyPolicy = Policy(
        shortIntervalMicros = 1_000_000,
        idleReturnMicros = 1_500_000,
        leaderLeaseMicros = 1_500_000,
    )

    private fun play(
        seed: Int,
        enabled: Boolean = true,
        before: (SimWorld) -> Unit = {},
        script: suspend kotlinx.coroutines.test.TestScope.(SimWorld) -> Unit,
    ): SimWorld = simulate(
        seed,
        baselineMachines = 1,
        features = Features(
            DutySettings().takeIf {
                enabled
            },
        ),
        policy = busyPolicy,
        before = before,
        script = script,
    )

    private suspend fun submitForEver(world: SimWorld) {
        var number = 0
        while (true) {
            val id = "req-70%04d".format(++number)
            world.user(
                SimJob(
                    id,
                    if (number % 2 ==
                        0
                    ) {
                        "north"
                    } else {
                        "south"
                    },
                    6 + number % 9, 2.0, false, false, false, true, 2_500_000,
                ),
                null,
            )
            delay(world.random.nextLong(8_000, 16_000))
        }
    }

    private fun assertOnlyHoldersActed(world: SimWorld, minOrders: Int) {
        val audit = CloudActionHistoryAudit(world)
        val orders = world.cloud.orders
        println("${orders.size} orders, ${audit.lateOrders()} of them after the term that decided them, ${world.starts} starts")
        assertEquals(emptyList<Any>(), audit.faults().map { (order, fault) -> "$fault: ${order.rental ?: order.returned}" })
        assertTrue(orders.size >= minOrders, "only ${orders.size} orders")
        assertTrue(orders.any { it.rental != null } && orders.any { it.returned.isNotEmpty() })
    }

    @ParameterizedTest
    @MethodSource("seeds")
    fun `a holder that stands still hundreds of times, with orders that come late, never acts out of its term`(seed: Int) {
        val terms = HashSet<Long>()
        val world = play(seed) { world ->
            launchLoad(world)
            freezeAtOrders(world)
            world.cloud.lateOrders = 0.1
            world.store.lostAnswers = 0.02
            repeat(120) {
                delay(world.random.nextLong(4_000, 20_000))
                val holder = leaderOf(world)
                if (holder >= 0) world.freeze(holder, world.random.nextLong(500_000, 6_000_000))
                world.store.valueOf("leader")?.let { terms += it.long("helm") }
            }
        }
        println("seed $seed: ${terms.size} terms")
        assertTrue(terms.size > 60, "only ${terms.size} terms")
        assertOnlyHoldersActed(world, minOrders = 60)
        assertEquals(emptyList<String>(), world.broken)
        assertEquals(emptyList<String>(), world.store.tooLarge)
    }

    /** The holder stands still between the commit of its intent and the call, half of the times. */
    private fun freezeAtOrders(world: SimWorld) {
        world.cloud.onOrder = { node, _ -> if (world.random.nextBoolean()) world.freeze(node, world.random.nextLong(500_000, 6_000_000)) }
    }

    private fun kotlinx.coroutines.test.TestScope.launchLoad(world: SimWorld) = backgroundScope.launch { submitForEver(world) }

    /** By their own clocks two of the controllers hold the duty far longer, or shorter, than the store lets them. */
    @Test
    fun `clocks that run at half and at double speed change nothing`() {
        val speeds = listOf(0.5, 1.0, 2.0)
        val world = play(
            seed = 3,
            before = { world -> world.clockOf = { at -> Clock { (world.clock.nowMicros() * speeds[at]).toLong() } } },
        ) { world ->
            launchLoad(world)
            freezeAtOrders(world)
            world.cloud.lateOrders = 0.1
            repeat(30) {
                delay(world.random.nextLong(5_000, 20_000))
                val holder = leaderOf(world)
                if (holder >= 0) world.freeze(holder, world.random.nextLong(500_000, 5_000_000))
            }
        }
        assertOnlyHoldersActed(world, minOrders = 8)
    }

    @Test
    fun `a holder whose clock jumps ahead by a minute, again and again, never acts out of its term`() {
        val jumps = LongArray(3)
        val world = play(
            seed = 6,
            before = { world -> world.clockOf = { at -> Clock { world.clock.nowMicros() + jumps[at] } } },
        ) { world ->
            launchLoad(world)
            world.cloud.lateOrders = 0.1
            repeat(30) {
                delay(world.random.nextLong(5_000, 20_000))
                val holder = leaderOf(world)
                if (holder >= 0) jumps[holder] += 60_000_000L
            }
        }
        assertOnlyHoldersActed(world, minOrders = 8)
    }

    /** While it is cut off, the earlier holder reaches the cloud, and both take themselves for the holder for a while. */
    @Test
    fun `a partition that heals while two controllers take themselves for the holder`() {
        val world = play(seed = 4) { world ->
            launchLoad(world)
            world.cloud.lateOrders = 0.2
            repeat(25) {
                delay(world.random.nextLong(6_000, 18_000))
                val holder = leaderOf(world)
                if (holder < 0) return@repeat
                world.store.refused += "mast-$holder"
                world.alone += holder
                delay(world.random.nextLong(500, 6_000))
                world.store.refused.clear()
                world.alone.clear()
            }
            world.cloud.lateOrders = 0.0
            delay(60_000)
            val old = world.clock.nowMicros() - 30_000_000
            val left = world.store.keysUnder(IntentCodec.PREFIX).map { IntentCodec.decode(world.store.valueOf(it)!!) }
                .filter { !it.state.isTerminal && it.decidedWallMicros < old }
            assertEquals(emptyList<Intent>(), left, "every action has ended")
        }
        assertOnlyHoldersActed(world, minOrders = 8)
        assertEquals(emptyList<String>(), world.broken)
    }

    /**
     * The box that is still needed: its return is decided while it is idle, and leaves late. The holder ends, and the next
     * one has work that needs the machine.
     */
    private fun returnThatComesLate(enabled: Boolean): SimWorld = play(seed = 5, enabled = enabled) { world ->
        var number = 0
        fun submit(runMicros: Long) = listOf("north", "south").forEach { team ->
            val id = "req-61%04d".format(++number)
            world.user(SimJob(id, team, 8, 2.0, false, false, false, true, runMicros), null)
        }
        world.cloud.lostAnswers = 0.0
        world.cloud.lateMillis = 14_000L..18_000L
        var ends = 0
        world.cloud.onOrder = { node, isReturn ->
            world.cloud.lateOrders = if (isReturn) 1.0 else 0.0
            if (isReturn && ends++ % RETURNS_A_ROUND == 0) {
                backgroundScope.launch { restart(world, node, 20_000) }
                submit(runMicros = 15_000_000)
            }
        }
        repeat(ROUNDS) {
            submit(runMicros = 3_000_000)
            delay(60_000)
        }
    }

    private fun interruptedReturns(world: SimWorld) = world.cloud.orders.count { it.interrupted.isNotEmpty() }

    @Test
    fun `a machine whose return is on its way gets no work from the next holder`() {
        val world = returnThatComesLate(enabled = true)
        assertOnlyHoldersActed(world, minOrders = 2)
        assertTrue(CloudActionHistoryAudit(world).lateOrders() > 0)
    }

    /** The same play without the subsystem: the fault that it is for occurs, so that the test above can fail. */
    @Test
    fun `without single-holder duties the late return ends work`() {
        val world = returnThatComesLate(enabled = false)
        println("${interruptedReturns(world)} returns ended running work")
        assertTrue(interruptedReturns(world) > 0)
        assertTrue(CloudActionHistoryAudit(world).faults().all { it.second == CloudActionFault.NO_INTENT })
    }

    companion object {
        /** More can be asked for by hand: -Dlinemast.dutySeeds=100-130. */
        @JvmStatic
        fun seeds(): IntStream {
            val (first, last) = System.getProperty("linemast.dutySeeds", "1-2").split('-').map { it.toInt() }
            return IntStream.rangeClosed(first, last)
        }

        private const val ROUNDS = 4
        private const val RETURNS_A_ROUND = 4
    }
}
