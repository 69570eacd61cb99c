package linemast.loopback

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import linemast.duties.CloudActionHistoryAudit
import linemast.duties.IntentCodec
import linemast.serialization.Fields
import linemast.simulation.SimJob
import linemast.simulation.SimWorld
import linemast.simulation.Violation
import linemast.simulation.leaderOf
import linemast.store.Write
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Tag
import org.junit.jupiter.api.Test

/**
 * A measurement, not part of CI: real processes on loopback, of which the holder of the duties is stopped and continued
 * (SIGSTOP, SIGCONT) again and again. See docs/operations-duties.md for how to run it.
 */
@Tag("loopback")
class DutyLoopbackTest {
    private val seed = Integer.getInteger("linemast.seed", 1)
    private val freezes = Integer.getInteger("linemast.freezes", 20)

    private val options = LoopbackOptions(
        seed = seed,
        arguments = listOf("--duties", "deploy/duties.toml"),
        policy = "return { leader_hold_s = 1, idle_return_s = 1.5, short_interval_s = 1 }",
        baselineMachines = 1,
        maxMachines = 24,
    )

    @Test
    fun `no order of a stale holder in hundreds of freezes`() {
        val cluster = LoopbackCluster(options)
        val terms = HashSet<Long>()
        var frozen = 0
        var afterCommit = 0
        cluster.runScenario {
            val world = cluster.world
            launch { submitForEver(world) }
            assertTrue(cluster.await(20_000) { world.startCount > 0 }, "nothing was started")
            world.cloud.lateActionProbability = 0.05

            fun freezeFor(at: Int, millis: Long) {
                frozen++
                cluster.freeze(at)
                launch {
                    delay(millis)
                    cluster.thaw(at)
                }
            }
            // Between the commit of an intent and the call: the answer to the commit waits in the socket meanwhile.
            world.store.onApplied = { node, writes ->
                if (writes.any(::beginsAction) && world.random.nextBoolean()) {
                    afterCommit++
                    freezeFor(node.removePrefix("mast-").toInt(), world.random.nextLong(500, 3_500))
                }
            }
            while (frozen < freezes) {
                delay(world.random.nextLong(5_000, 10_000))
                val holder = leaderOf(world)
                if (holder >= 0) freezeFor(holder, world.random.nextLong(300, 3_500))
                world.store.valueOf("leader")?.let { terms += it.long("helm") }
            }
            world.store.onApplied = { _, _ -> }
            delay(20_000)
        }
        val world = cluster.world
        val audit = CloudActionHistoryAudit(world)
        val orders = world.cloud.actions
        println(
            "seed $seed: $frozen freezes ($afterCommit just after the commit of an intent), ${terms.size} terms, ${orders.size} orders " +
                "(${orders.count { it.scaleOutRequest != null }} rentals, ${orders.count { it.removedMachines.isNotEmpty() }} returns), " +
                "${audit.lateActions()} carried out after the term that decided them, ${audit.faults().size} of a stale holder; " +
                "${world.startCount} starts, " +
                "${world.jobs.values.count { it.acknowledgedStatus == "done" }} of ${world.jobs.size} jobs done",
        )
        assertEquals(emptyList<Any>(), audit.faults().map { (order, fault) -> "$fault: ${order.scaleOutRequest ?: order.removedMachines}" })
        assertEquals(emptyList<Violation>(), world.violations)
        assertTrue(orders.size >= frozen / 4, "only ${orders.size} orders")
    }

    private fun beginsAction(write: Write): Boolean =
        write is Write.Put && IntentCodec.slot(write.key) != null && !IntentCodec.decode(Fields(write.value)).state.isTerminal

    private suspend fun CoroutineScope.submitForEver(world: SimWorld) {
        var number = 0
        while (true) {
            val id = "req-70%04d".format(++number)
            val team = if (number % 2 == 0) "north" else "south"
            world.users.submit(SimJob(id, team, 4 + number * 7 % 20, 2.0, false, false, false, true, 2_500_000), null)
            delay(world.random.nextLong(2_000, 6_000))
        }
    }
}
