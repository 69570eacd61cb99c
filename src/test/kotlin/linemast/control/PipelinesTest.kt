package linemast.control

import linemast.domain.JobPriority
import linemast.domain.OpenRecord
import linemast.domain.Verdict
import linemast.testSpec
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import kotlin.random.Random

class PipelinesTest {
    private fun record(id: Int, dependencies: Collection<Int>, vararg fields: Pair<String, Any?>) = OpenRecord(
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
            val verdicts = arrayOfNulls<Verdict>(count)
            val pipelines = Pipelines()
            val waiting = HashSet<Int>()
            val unseen = dependencies.keys.filter { dependencies.getValue(it).isNotEmpty() }.shuffled(random).toMutableList()
            val live = dependencies.keys.filterTo(HashSet()) { dependencies.getValue(it).isEmpty() }
            var version = 0L
            var now = 0L
            repeat(3_000) {
                now += 300_000
                if (unseen.isNotEmpty() && random.nextInt(3) == 0) {
                    val id = unseen.removeLast()
                    waiting += id
                    pipelines.put(record(id, dependencies.getValue(id)), ++version)
                }
                if (live.isNotEmpty() && random.nextInt(8) == 0) {
                    val id = live.random(random)
                    live -= id
                    verdicts[id] = if (random.nextInt(6) == 0) Verdict.CANCELLED else Verdict.DONE
                    // News of it may never come: then it has to be asked for.
                    if (random.nextBoolean()) verdicts[id]?.let { pipelines.learned("req-$id", it) }
                }
                val step = pipelines.step({ it.removePrefix("req-").toInt() in live }, now)
                for (job in step.released) {
                    val id = job.id.removePrefix("req-").toInt()
                    assertTrue(dependencies.getValue(id).all { verdicts[it] == Verdict.DONE }, "$id goes too early")
                    if (random.nextInt(3) == 0) {
                        pipelines.retry(listOf(job))
                        continue
                    }
                    pipelines.drop(job.id)
                    waiting -= id
                    live += id
                }
                for (job in step.cancelled) {
                    val id = job.id.removePrefix("req-").toInt()
                    assertTrue(needsCancelled(id, dependencies, verdicts), "$id needs nothing that was withdrawn")
                    if (random.nextInt(3) == 0) {
                        pipelines.retry(listOf(job))
                        continue
                    }
                    verdicts[id] = Verdict.CANCELLED
                    pipelines.drop(job.id)
                    waiting -= id
                }
                step.toRead.forEach { asked ->
                    val id = asked.removePrefix("req-").toInt()
                    if (random.nextInt(4) != 0) pipelines.learned(asked, verdicts[id] ?: Verdict.OPEN)
                }
            }
            assertEquals(emptySet<Int>(), waiting, "round $round: none waits for ever")
            assertTrue(pipelines.isEmpty)
            for (id in 0 until count) {
                assertEquals(
                    needsCancelled(id, dependencies, verdicts),
                    verdicts[id] == Verdict.CANCELLED && dependencies.getValue(id).any { isOver(it, dependencies, verdicts) },
                    "job $id",
                )
            }
        }
    }

    private fun isOver(id: Int, dependencies: Map<Int, Set<Int>>, verdicts: Array<Verdict?>): Boolean =
        verdicts[id] == Verdict.CANCELLED || needsCancelled(id, dependencies, verdicts)

    private fun needsCancelled(id: Int, dependencies: Map<Int, Set<Int>>, verdicts: Array<Verdict?>): Boolean =
        dependencies.getValue(id).any { isOver(it, dependencies, verdicts) }

    @Test
    fun `a chain of any depth is cancelled without the stack`() {
        val pipelines = Pipelines()
        val depth = 30_000
        for (id in depth downTo 1) pipelines.put(record(id, listOf(id - 1)), id.toLong())
        pipelines.learned("req-0", Verdict.CANCELLED)
        assertEquals(depth, pipelines.step({ false }, 0).cancelled.size)
        assertEquals(0, pipelines.step({ false }, 0).cancelled.size, "each is committed once at a time")
    }

    @Test
    fun `deadline and priority of the last job pass back through a diamond`() {
        val pipelines = Pipelines()
        pipelines.put(record(2, listOf(1), "urgency" to "idle", "due_s" to null), 1)
        pipelines.put(record(3, listOf(1), "urgency" to "normal", "due_s" to null), 1)
        pipelines.put(record(4, listOf(2, 3), "urgency" to "high", "due_s" to 100.0), 1)
        val spans = mapOf("req-2" to 30_000_000L, "req-3" to 10_000_000L, "req-4" to 5_000_000L)
        val needs = pipelines.needs { spans.getValue(it.spec.id) }
        val due = 1_000 + 100_000_000L
        assertEquals(due - 5_000_000, needs.getValue("req-2").byWallMicros)
        assertEquals(due - 35_000_000, needs.getValue("req-1").byWallMicros, "the longer way counts")
        assertEquals(setOf(JobPriority.HIGH), needs.values.map { it.priority }.toSet())
        pipelines.drop("req-4")
        assertEquals(JobPriority.NORMAL, pipelines.needs { 0 }.getValue("req-1").priority)
        assertFalse("req-3" in pipelines.needs { 0 })
    }

    @Test
    fun `what comes next is known once all that it still needs is under way`() {
        val pipelines = Pipelines()
        pipelines.put(record(3, listOf(1, 2)), 1)
        pipelines.put(record(4, listOf(3)), 2)
        val running = mutableMapOf("req-1" to 20L)
        fun predicted() = pipelines.predicted(running::get) { 7L }.map { it.job.id to it.startsInMicros }
        assertEquals(emptyList<Pair<String, Long>>(), predicted(), "nobody knows when the second begins")
        running["req-2"] = 50L
        assertEquals(listOf("req-3" to 50L, "req-4" to 57L), predicted(), "the last of them counts, and a waiting job passes it on")
        pipelines.learned("req-2", Verdict.DONE)
        assertEquals(listOf("req-3" to 20L, "req-4" to 27L), predicted())
        pipelines.learned("req-1", Verdict.CANCELLED)
        assertEquals(emptyList<Pair<String, Long>>(), predicted())
    }
}
