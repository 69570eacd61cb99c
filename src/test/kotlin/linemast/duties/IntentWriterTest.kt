package linemast.duties

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
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

/** Intents written to a store that loses answers, carries transactions out late and twice, and changes its leader. */
class IntentWriterTest {
    private fun TestScope.clock() = Clock { testScheduler.currentTime * 1_000 + 1 }

    private suspend fun lead(store: KeyValueStore, token: Long): LeaderLease {
        val current = store.get(LeaderKeys.LEADER)
        val put = Write.Put(LeaderKeys.LEADER, mapOf("node" to "mast-$token", "helm" to token))
        val result = store.commit(listOf(Precondition(LeaderKeys.LEADER, current?.revision ?: 0L)), listOf(put))
        return LeaderLease(token, (result as CommitResult.Applied).revision, 1L shl 50, 0, 0)
    }

    private fun writer(store: KeyValueStore, leaderLease: LeaderLease, slots: Int = 32) = IntentWriter(store, leaderLease, slots, 5) { 0L }

    /** A writer that leads with fencing token 1, running. */
    private suspend fun TestScope.runningWriter(store: SimStore, slots: Int = 32): Pair<IntentWriter, LeaderLease> {
        val leaderLease = lead(store.clientOf("mast-1"), 1)
        val writer = writer(store.clientOf("mast-1"), leaderLease, slots)
        writer.load()
        backgroundScope.launch { writer.run() }
        return writer to leaderLease
    }

    private fun returnOf(number: Int) = CloudAction.ScaleIn(listOf("host-$number"), Duty.SCALE_IN)

    private fun stored(store: SimStore) = store.keysUnder(IntentCodec.PREFIX).map { IntentCodec.decode(store.valueOf(it)!!) }

    @ParameterizedTest
    @ValueSource(ints = [1, 2, 3, 4, 5, 6, 7, 8])
    fun `each intent is stored once, whatever becomes of answers`(seed: Int) = runTest {
        val store = SimStore(backgroundScope, clock(), Random(seed))
        val (writer, _) = runningWriter(store)
        store.lostAnswers = 0.3
        store.repeats = 0.3
        val begun = List(24) { number -> async { writer.begin(returnOf(number)) } }.awaitAll()
        assertEquals(24, begun.map { it.slot }.toSet().size)
        assertEquals(24, begun.map { it.intent.id }.toSet().size)
        assertEquals(begun.map { it.intent }.toSet(), stored(store).toSet())
        begun.forEach { writer.close(it, IntentState.CARRIED_OUT, 1) }
        delay(120_000)
        assertTrue(stored(store).all { it.state == IntentState.CARRIED_OUT && it.closedByToken == 1L })
        assertEquals(24, stored(store).size)
    }

    @ParameterizedTest
    @ValueSource(ints = [11, 12, 13, 14])
    fun `a replaced holder writes nothing more, however late its transactions are carried out`(seed: Int) = runTest {
        val store = SimStore(backgroundScope, clock(), Random(seed))
        val (writer, leaderLease) = runningWriter(store)
        store.lostAnswers = 0.7
        val waiting =
            List(6) { number -> CoroutineScope(backgroundScope.coroutineContext).async { runCatching { writer.begin(returnOf(number)) } } }
        delay(3_000)
        store.lostAnswers = 0.0
        val next = lead(store.clientOf("mast-2"), 2)
        val successor = writer(store.clientOf("mast-2"), next)
        successor.load()
        val atTakeOver = stored(store).toSet()
        val outcomes = waiting.awaitAll()
        val refused = runCatching { writer.begin(returnOf(99)) }
        delay(120_000)
        assertEquals(atTakeOver, stored(store).toSet(), "nothing was written after the take-over")
        assertEquals(atTakeOver, successor.log.open.map { it.intent }.toSet(), "the successor has read all that was")
        assertTrue(outcomes.all { it.isSuccess || it.exceptionOrNull() is LeadershipLostException })
        assertTrue(outcomes.filter { it.isSuccess }.all { it.getOrThrow().intent in atTakeOver })
        assertTrue(refused.exceptionOrNull() is LeadershipLostException, "$refused")
        assertTrue(leaderLease.ended)
    }

    @Test
    fun `with all slots open nothing new is begun until one ends`() = runTest {
        val store = SimStore(backgroundScope, clock(), Random(1))
        val (writer, _) = runningWriter(store, slots = 3)
        val begun = List(3) { writer.begin(returnOf(it)) }
        assertThrows(IntentLogFullException::class.java) { kotlinx.coroutines.runBlocking { writer.begin(returnOf(3)) } }
        writer.close(begun[1], IntentState.CARRIED_OUT, 1)
        delay(1_000)
        assertEquals(begun[1].slot, writer.begin(returnOf(4)).slot)
    }
}
