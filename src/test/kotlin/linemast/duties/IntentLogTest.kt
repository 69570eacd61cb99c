package linemast.duties

import linemast.settings.Duty
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import kotlin.random.Random

/**
 * Guards against open intents that are overwritten, and against scale-ins of previous terms that are started twice or while
 * tasks are on their machines. Uses generated histories.
 */
class IntentLogTest {
    @Test
    fun `open intents are never overwritten, and the oldest closed one is overwritten first`() {
        val random = Random(29)
        repeat(50) {
            var log = IntentLog.empty(slotCount = 8)
            var revision = 0L
            for (number in 1L..200L) {
                val slot = log.findFreeSlot()
                if (slot == null) {
                    assertEquals(8, log.openIntents.size)
                } else {
                    val earlier = log[slot]
                    assertTrue(earlier == null || earlier.intent.state.isTerminal)
                    if (earlier != null) assertEquals(log.intents.first { it.intent.state.isTerminal }.intent.id, earlier.intent.id)
                    val intent = generatedIntent(random, token = 1, number = number).copy(state = IntentState.OPEN)
                    log = log.reserve(slot)
                    assertTrue(log.findFreeSlot() != slot)
                    log = log.put(StoredIntent(slot, intent, ++revision))
                }
                val closing = log.openIntents.randomOrNull(random)?.takeIf { random.nextInt(10) < 8 } ?: continue
                log = log.put(StoredIntent(closing.slot, closing.intent.closed(IntentState.CARRIED_OUT, 1, 1), ++revision))
                assertEquals(revision, log.revisionOf(closing.slot))
            }
        }
    }

    @Test
    fun `a change returns a new log and does not modify the original`() {
        val first = IntentLog.empty(slotCount = 4)
        val second = first.put(StoredIntent(0, generatedIntent(Random(1)), 5))
        assertNull(first[0])
        assertEquals(1, second.intents.size)
    }

    @Test
    fun `pending scale-ins start once their machines are free, and an intent completes with its last confirmed machine`() {
        val random = Random(30)
        repeat(100) { round ->
            val intents = List(3) { at ->
                val names = List(random.nextInt(1, 5)) { "host-$at-$it" }
                StoredIntent(at, Intent(IntentId(1, at + 1L), CloudAction.ScaleIn(names, Duty.SCALE_IN), 0), 1)
            }
            val all = intents.flatMap { (it.intent.action as CloudAction.ScaleIn).names }
            val scaleIns = PendingScaleIns(intents)
            val completedIntents = ArrayList<StoredIntent>()
            val scaledIn = ArrayList<String>()
            while (!scaleIns.isEmpty) {
                val busy = all.filterTo(HashSet()) { random.nextInt(3) == 0 }
                val names = scaleIns.startNext(random.nextInt(1, 4)) { it !in busy }
                assertTrue(names.none { it in busy || it in scaledIn }, "round $round")
                assertTrue(scaleIns.startNext(10) { it in names }.isEmpty(), "a scale-in in progress is not started twice")
                scaledIn += names
                for (completed in scaleIns.confirm(names)) {
                    assertTrue(scaledIn.containsAll(completed.action.names))
                    completedIntents += completed.stored
                }
            }
            assertEquals(intents.toSet(), completedIntents.toSet())
            assertEquals(all.toSet(), scaledIn.toSet())
        }
    }
}
