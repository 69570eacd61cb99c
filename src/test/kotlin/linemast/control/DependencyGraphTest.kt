package linemast.control

import linemast.domain.JobOutcome
import linemast.domain.JobPriority
import linemast.domain.JobRecord
import linemast.testSpec
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import kotlin.random.Random

class DependencyGraphTest {
    private fun record(id: Int, dependencies: Collection<Int>, vararg fields: Pair<String, Any?>) = JobRecord(
        testSpec("req-$id", "awaits" to dependencies.map { "req-$it" }, *fields),
        1_000,
        opened = false,
        cancelled = false,
    )

    /** Jobs that need earlier ones at random; news in any order, commits that fail and answers that never come. */
    @Test
    fun `a job goes when all that it needs are done, and is cancelled with any that it needs`() {
        val seed = 3
        println("seed $seed")
        repeat(60) { round ->
            val random = Random(seed + round)
            val count = 5 + random.nextInt(40)
            val dependencies = (0 until count).associateWith { id ->
                List(random.nextInt(4)) { random.nextInt(maxOf(1, id)) }.filter { it < id }.toSet()
            }
            val outcomes = arrayOfNulls<JobOutcome>(count)
            val graph = DependencyGraph()
            val waiting = HashSet<Int>()
            val unconfirmed = dependencies.keys.filter { dependencies.getValue(it).isNotEmpty() }.shuffled(random).toMutableList()
            val live = dependencies.keys.filterTo(HashSet()) { dependencies.getValue(it).isEmpty() }
            var revision = 0L
            var now = 0L
            repeat(3_000) {
                now += 300_000
                if (unconfirmed.isNotEmpty() && random.nextInt(3) == 0) {
                    val id = unconfirmed.removeLast()
                    waiting += id
                    graph.put(record(id, dependencies.getValue(id)), ++revision)
                }
                if (live.isNotEmpty() && random.nextInt(8) == 0) {
                    val id = live.random(random)
                    live -= id
                    outcomes[id] = if (random.nextInt(6) == 0) JobOutcome.CANCELLED else JobOutcome.DONE
                    // News of it may never come: then it has to be asked for.
                    if (random.nextBoolean()) outcomes[id]?.let { graph.learned("req-$id", it) }
                }
                val step = graph.step({ it.removePrefix("req-").toInt() in live }, now)
                for (job in step.released) {
                    val id = job.id.removePrefix("req-").toInt()
                    assertTrue(dependencies.getValue(id).all { outcomes[it] == JobOutcome.DONE }, "$id goes too early")
                    if (random.nextInt(3) == 0) {
                        graph.retry(listOf(job))
                        continue
                    }
                    graph.drop(job.id)
                    waiting -= id
                    live += id
                }
                for (job in step.cancelled) {
                    val id = job.id.removePrefix("req-").toInt()
                    assertTrue(needsCancelled(id, dependencies, outcomes), "$id needs nothing that was withdrawn")
                    if (random.nextInt(3) == 0) {
                        graph.retry(listOf(job))
                        continue
                    }
                    outcomes[id] = JobOutcome.CANCELLED
                    graph.drop(job.id)
                    waiting -= id
                }
                step.toRead.forEach { asked ->
                    val id = asked.removePrefix("req-").toInt()
                    if (random.nextInt(4) != 0) graph.learned(asked, outcomes[id] ?: JobOutcome.OPEN)
                }
            }
            assertEquals(emptySet<Int>(), waiting, "round $round: none waits for ever")
            assertTrue(graph.isEmpty)
            for (id in 0 until count) {
                assertEquals(
                    needsCancelled(id, dependencies, outcomes),
                    outcomes[id] == JobOutcome.CANCELLED && dependencies.getValue(id).any { isOver(it, dependencies, outcomes) },
                    "job $id",
                )
            }
        }
    }

    private fun isOver(id: Int, dependencies: Map<Int, Set<Int>>, outcomes: Array<JobOutcome?>): Boolean =
        outcomes[id] == JobOutcome.CANCELLED || needsCancelled(id, dependencies, outcomes)

    private fun needsCancelled(id: Int, dependencies: Map<Int, Set<Int>>, outcomes: Array<JobOutcome?>): Boolean =
        dependencies.getValue(id).any { isOver(it, dependencies, outcomes) }

    @Test
    fun `a chain of any depth is cancelled without the stack`() {
        val graph = DependencyGraph()
        val depth = 30_000
        for (id in depth downTo 1) graph.put(record(id, listOf(id - 1)), id.toLong())
        graph.learned("req-0", JobOutcome.CANCELLED)
        assertEquals(depth, graph.step({ false }, 0).cancelled.size)
        assertEquals(0, graph.step({ false }, 0).cancelled.size, "each is committed once at a time")
    }

    @Test
    fun `deadline and priority of the last job pass back through a diamond`() {
        val graph = DependencyGraph()
        graph.put(record(2, listOf(1), "urgency" to "idle", "due_s" to null), 1)
        graph.put(record(3, listOf(1), "urgency" to "normal", "due_s" to null), 1)
        graph.put(record(4, listOf(2, 3), "urgency" to "high", "due_s" to 100.0), 1)
        val spans = mapOf("req-2" to 30_000_000L, "req-3" to 10_000_000L, "req-4" to 5_000_000L)
        val needs = graph.needs { spans.getValue(it.spec.id) }
        val due = 1_000 + 100_000_000L
        assertEquals(due - 5_000_000, needs.getValue("req-2").byWallMicros)
        assertEquals(due - 35_000_000, needs.getValue("req-1").byWallMicros, "the longer way counts")
        assertEquals(setOf(JobPriority.HIGH), needs.values.map { it.priority }.toSet())
        graph.drop("req-4")
        assertEquals(JobPriority.NORMAL, graph.needs { 0 }.getValue("req-1").priority)
        assertFalse("req-3" in graph.needs { 0 })
    }

    @Test
    fun `what comes next is known once all that it still needs is under way`() {
        val graph = DependencyGraph()
        graph.put(record(3, listOf(1, 2)), 1)
        graph.put(record(4, listOf(3)), 2)
        val running = mutableMapOf("req-1" to 20L)
        fun predicted() = graph.predicted(running::get) { 7L }.map { it.job.id to it.startsInMicros }
        assertEquals(emptyList<Pair<String, Long>>(), predicted(), "nobody knows when the second begins")
        running["req-2"] = 50L
        assertEquals(listOf("req-3" to 50L, "req-4" to 57L), predicted(), "the last of them counts, and a waiting job passes it on")
        graph.learned("req-2", JobOutcome.DONE)
        assertEquals(listOf("req-3" to 20L, "req-4" to 27L), predicted())
        graph.learned("req-1", JobOutcome.CANCELLED)
        assertEquals(emptyList<Pair<String, Long>>(), predicted())
    }
}
