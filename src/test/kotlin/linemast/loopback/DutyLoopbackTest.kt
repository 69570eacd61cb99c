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
 * Guards against cloud actions of a stale leader, which was paused in the middle of an action and resumes when another controller may
 * lead. A measurement with real processes on loopback, in which the leader is repeatedly paused and resumed (SIGSTOP, SIGCONT). It is
 * not part of CI; see docs/operations-duties.md for how to run it.
 */
@Tag("loopback")
class DutyLoopbackTest {
    private val seed = Integer.getInteger("linemast.seed", 1)
    private val requiredPauses = Integer.getInteger("linemast.freezes", 20)

    private val options = LoopbackOptions(
        seed = seed,
        arguments = listOf("--duties", "deploy/duties.toml"),
        policy = "return { leader_hold_s = 1, idle_return_s = 1.5, short_interval_s = 1 }",
        baselineMachines = 1,
        maxMachines = 24,
    )

    @Test
    fun `no cloud action of a stale leader is carried out when leaders are paused repeatedly`() {
        val cluster = LoopbackCluster(options)
        val terms = HashSet<Long>()
        var pauseCount = 0
        var pausesAfterCommit = 0
        cluster.runScenario {
            val world = cluster.world
            launch { submitContinuously(world) }
            assertTrue(cluster.await(20_000) { world.startCount > 0 }, "no task was started in time")
            world.cloud.lateActionProbability = 0.05

            fun pauseFor(index: Int, millis: Long) {
                pauseCount++
                cluster.pause(index)
                launch {
                    delay(millis)
                    cluster.resume(index)
                }
            }
            // Pauses the leader between the commit of an intent and the call to the cloud. The response to the commit waits in the socket
            // meanwhile.
            world.store.onApplied = { node, writes ->
                if (writes.any(::writesOpenIntent) && world.random.nextBoolean()) {
                    pausesAfterCommit++
                    pauseFor(node.removePrefix("mast-").toInt(), world.random.nextLong(500, 3_500))
                }
            }
            while (pauseCount < requiredPauses) {
                delay(world.random.nextLong(5_000, 10_000))
                val leader = leaderOf(world)
                if (leader >= 0) pauseFor(leader, world.random.nextLong(300, 3_500))
                world.store.valueOf("leader")?.let { terms += it.long("helm") }
            }
            world.store.onApplied = { _, _ -> }
            delay(20_000)
        }
        val world = cluster.world
        val audit = CloudActionHistoryAudit(world)
        val cloudActions = world.cloud.actions
        println(
            "seed $seed: $pauseCount pauses ($pausesAfterCommit just after the commit of an intent), ${terms.size} terms, " +
                "${cloudActions.size} cloud actions (${cloudActions.count { it.scaleOutRequest != null }} scale-outs, " +
                "${cloudActions.count { it.removedMachines.isNotEmpty() }} scale-ins), " +
                "${audit.lateActions()} carried out after the term that decided them, ${audit.faults().size} with a fault; " +
                "${world.startCount} starts, " +
                "${world.jobs.values.count { it.acknowledgedStatus == "done" }} of ${world.jobs.size} jobs done",
        )
        assertEquals(
            emptyList<Any>(),
            audit.faults().map { (action, fault) -> "$fault: ${action.scaleOutRequest ?: action.removedMachines}" },
        )
        assertEquals(emptyList<Violation>(), world.violations)
        assertTrue(cloudActions.size >= pauseCount / 4, "only ${cloudActions.size} cloud actions")
    }

    private fun writesOpenIntent(write: Write): Boolean =
        write is Write.Put && IntentCodec.slot(write.key) != null && !IntentCodec.decode(Fields(write.value)).state.isTerminal

    private suspend fun CoroutineScope.submitContinuously(world: SimWorld) {
        var number = 0
        while (true) {
            val id = "req-70%04d".format(++number)
            val team = if (number % 2 == 0) "north" else "south"
            world.users.submit(SimJob(id, team, 4 + number * 7 % 20, 2.0, false, false, false, true, 2_500_000), null)
            delay(world.random.nextLong(2_000, 6_000))
        }
    }
}
