package linemast.duties

import linemast.settings.Duty
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import kotlin.random.Random

/** The slots, and what is left of earlier terms, under generated histories. */
class IntentLogTest {
    @Test
    fun `no open intent is ever overwritten, and the one that ended longest ago gives way first`() {
        val random = Random(29)
        repeat(50) {
            var log = IntentLog.empty(slotCount = 8)
            var revision = 0L
            for (number in 1L..200L) {
                val slot = log.freeSlot()
                if (slot == null) {
                    assertEquals(8, log.open.size)
                } else {
                    val earlier = log[slot]
                    assertTrue(earlier == null || earlier.intent.state.isTerminal)
                    if (earlier != null) assertEquals(log.intents.first { it.intent.state.isTerminal }.intent.id, earlier.intent.id)
                    val intent = generatedIntent(random, token = 1, number = number).copy(state = IntentState.OPEN)
                    log = log.reserve(slot)
                    assertTrue(log.freeSlot() != slot)
                    log = log.put(StoredIntent(slot, intent, ++revision))
                }
                val ends = log.open.randomOrNull(random)?.takeIf { random.nextInt(10) < 8 } ?: continue
                log = log.put(StoredIntent(ends.slot, ends.intent.closed(IntentState.CARRIED_OUT, 1, 1), ++revision))
                assertEquals(revision, log.revisionOf(ends.slot))
            }
        }
    }

    @Test
    fun `an earlier log is not changed by a later one`() {
        val first = IntentLog.empty(slotCount = 4)
        val second = first.put(StoredIntent(0, generatedIntent(Random(1)), 5))
        assertNull(first[0])
        assertEquals(1, second.intents.size)
    }

    @Test
    fun `inherited machines are given back one by one as they become free, and an intent ends with its last one`() {
        val random = Random(30)
        repeat(100) { round ->
            val intents = List(3) { at ->
                val names = List(random.nextInt(1, 5)) { "host-$at-$it" }
                StoredIntent(at, Intent(IntentId(1, at + 1L), CloudAction.ScaleIn(names, Duty.SCALE_IN), 0), 1)
            }
            val all = intents.flatMap { (it.intent.action as CloudAction.ScaleIn).names }
            val returns = PendingScaleIns(intents)
            val ended = ArrayList<StoredIntent>()
            val returned = ArrayList<String>()
            while (!returns.isOver) {
                val busy = all.filterTo(HashSet()) { random.nextInt(3) == 0 }
                val names = returns.next(random.nextInt(1, 4)) { it !in busy }
                assertTrue(names.none { it in busy || it in returned }, "round $round")
                assertTrue(returns.next(10) { it in names }.isEmpty(), "what is under way is not given back twice")
                returned += names
                for (over in returns.confirmed(names)) {
                    assertTrue(returned.containsAll((over.intent.action as CloudAction.ScaleIn).names))
                    ended += over
                }
            }
            assertEquals(intents.toSet(), ended.toSet())
            assertEquals(all.toSet(), returned.toSet())
        }
    }
}
