package linemast.duties

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.runTest
import linemast.leadership.LeaderKeys
import linemast.leadership.LeaderLease
import linemast.settings.Duty
import linemast.simulation.SimStore
import linemast.store.CommitResult
import linemast.store.KeyValueStore
import linemast.store.Precondition
import linemast.store.Write
import linemast.time.Clock
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertThrows
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import kotlin.random.Random

/**
 * Guards against intents that are lost, stored twice, or written by a previous leader. The simulated store loses responses and
 * executes transactions late and twice, and the leader changes.
 */
class IntentWriterTest {
    private fun TestScope.clock() = Clock { testScheduler.currentTime * 1_000 + 1 }

    private suspend fun becomeLeader(store: KeyValueStore, token: Long): LeaderLease {
        val current = store.get(LeaderKeys.LEADER)
        val put = Write.Put(LeaderKeys.LEADER, mapOf("node" to "mast-$token", "helm" to token))
        val result = store.commit(listOf(Precondition(LeaderKeys.LEADER, current?.revision ?: 0L)), listOf(put))
        return LeaderLease(token, (result as CommitResult.Applied).revision, 1L shl 50, 0, 0)
    }

    private fun writer(store: KeyValueStore, leaderLease: LeaderLease, slots: Int = 32) = IntentWriter(store, leaderLease, slots, 5) { 0L }

    private data class RunningWriter(val writer: IntentWriter, val leaderLease: LeaderLease)

    /** Returns a running writer of a leader with fencing token 1. */
    private suspend fun TestScope.runningWriter(store: SimStore, slots: Int = 32): RunningWriter {
        val leaderLease = becomeLeader(store.clientOf("mast-1"), 1)
        val writer = writer(store.clientOf("mast-1"), leaderLease, slots)
        writer.load()
        backgroundScope.launch { writer.run() }
        return RunningWriter(writer, leaderLease)
    }

    private fun scaleInOf(number: Int) = CloudAction.ScaleIn(listOf("host-$number"), Duty.SCALE_IN)

    private fun stored(store: SimStore) = store.keysUnder(IntentCodec.PREFIX).map { IntentCodec.decode(store.valueOf(it)!!) }

    @ParameterizedTest
    @ValueSource(ints = [1, 2, 3, 4, 5, 6, 7, 8])
    fun `each intent is stored exactly once when responses are lost and transactions are repeated`(seed: Int) = runTest {
        val store = SimStore(backgroundScope, clock(), Random(seed))
        val writer = runningWriter(store).writer
        store.lostResponseProbability = 0.3
        store.delayedDuplicateProbability = 0.3
        val opened = List(24) { number -> async { writer.open(scaleInOf(number)) } }.awaitAll()
        assertEquals(24, opened.map { it.slot }.toSet().size)
        assertEquals(24, opened.map { it.intent.id }.toSet().size)
        assertEquals(opened.map { it.intent }.toSet(), stored(store).toSet())
        opened.forEach { writer.close(it, IntentState.CARRIED_OUT, 1) }
        delay(120_000)
        assertTrue(stored(store).all { it.state == IntentState.CARRIED_OUT && it.closedByToken == 1L })
        assertEquals(24, stored(store).size)
    }

    @ParameterizedTest
    @ValueSource(ints = [11, 12, 13, 14])
    fun `a previous leader writes nothing after the failover, however late its transactions are executed`(seed: Int) = runTest {
        val store = SimStore(backgroundScope, clock(), Random(seed))
        val (writer, leaderLease) = runningWriter(store)
        store.lostResponseProbability = 0.7
        val pendingOpens =
            List(6) { number -> CoroutineScope(backgroundScope.coroutineContext).async { runCatching { writer.open(scaleInOf(number)) } } }
        delay(3_000)
        store.lostResponseProbability = 0.0
        val nextLease = becomeLeader(store.clientOf("mast-2"), 2)
        val successor = writer(store.clientOf("mast-2"), nextLease)
        successor.load()
        val atFailover = stored(store).toSet()
        val outcomes = pendingOpens.awaitAll()
        val lateOpen = runCatching { writer.open(scaleInOf(99)) }
        delay(120_000)
        assertEquals(atFailover, stored(store).toSet(), "nothing was written after the failover")
        assertEquals(atFailover, successor.log.openIntents.map { it.intent }.toSet(), "the next leader has read all that was written")
        assertTrue(outcomes.all { it.isSuccess || it.exceptionOrNull() is LeadershipLostException })
        assertTrue(outcomes.filter { it.isSuccess }.all { it.getOrThrow().intent in atFailover })
        assertTrue(lateOpen.exceptionOrNull() is LeadershipLostException, "$lateOpen")
        assertTrue(leaderLease.hasEnded)
    }

    @Test
    fun `when all slots hold open intents a new intent is rejected until one is closed`() = runTest {
        val store = SimStore(backgroundScope, clock(), Random(1))
        val writer = runningWriter(store, slots = 3).writer
        val opened = List(3) { writer.open(scaleInOf(it)) }
        assertThrows(IntentLogFullException::class.java) { runBlocking { writer.open(scaleInOf(3)) } }
        writer.close(opened[1], IntentState.CARRIED_OUT, 1)
        delay(1_000)
        assertEquals(opened[1].slot, writer.open(scaleInOf(4)).slot)
    }
}
