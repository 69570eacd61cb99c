package linemast.simulation

import kotlinx.coroutines.delay
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource

/** Troubles that meet, each brought about on purpose; the rules are checked by [SimWorld] all the while. */
class MeetingsTest {
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

    private fun sweep(id: String, runMicros: Long, pieces: Int = 6, crew: String = "north") =
        SimJob(id, crew, pieces, 1.0, gang = false, samePlace = false, apart = false, loaners = true, runMicros)
}
