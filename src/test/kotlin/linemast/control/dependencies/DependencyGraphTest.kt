package linemast.control.dependencies

import linemast.domain.JobOutcome
import linemast.domain.JobPriority
import linemast.domain.JobRecord
import linemast.testSpec
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import kotlin.random.Random

private fun blockedRecord(id: Int, dependencies: Collection<Int>, vararg fields: Pair<String, Any?>) = JobRecord(
    testSpec("req-$id", "awaits" to dependencies.map { "req-$it" }, *fields),
    1_000,
    activated = false,
    cancelled = false,
)

/**
 * Guards against jobs that are released too early, cancelled without reason, or blocked forever.
 *
 * Such faults come about when records and outcomes arrive in any order, commits fail, or reads get no response.
 */
class DependencyGraphTest {
    /** Jobs depend on earlier jobs at random; outcomes arrive in any order or not at all, commits fail, reads return nothing. */
    @ParameterizedTest
    @ValueSource(ints = [3])
    fun `a job is released when all its dependencies are done and cancelled with any of them`(seed: Int) {
        repeat(60) { round ->
            val pipeline = RandomPipeline(Random(seed + round))
            repeat(3_000) { pipeline.step() }
            pipeline.checkAllEnded("seed $seed, round $round")
        }
    }

    @Test
    fun `a deep chain of jobs is cancelled without recursion`() {
        val graph = DependencyGraph()
        val depth = 30_000
        for (id in depth downTo 1) graph.put(blockedRecord(id, listOf(id - 1)), id.toLong())
        graph.recordOutcome("req-0", JobOutcome.CANCELLED)
        assertEquals(depth, graph.nextActions({ false }, 0).toCancel.size)
        assertEquals(0, graph.nextActions({ false }, 0).toCancel.size, "a job has at most one commit in progress")
    }

    @Test
    fun `deadline and priority of the last job are propagated back through a diamond`() {
        val graph = DependencyGraph()
        graph.put(blockedRecord(2, listOf(1), "urgency" to "idle", "due_s" to null), 1)
        graph.put(blockedRecord(3, listOf(1), "urgency" to "normal", "due_s" to null), 1)
        graph.put(blockedRecord(4, listOf(2, 3), "urgency" to "high", "due_s" to 100.0), 1)
        val durations = mapOf("req-2" to 30_000_000L, "req-3" to 10_000_000L, "req-4" to 5_000_000L)
        val requirements = graph.inheritedRequirements { durations.getValue(it.spec.id) }
        val deadline = 1_000 + 100_000_000L
        assertEquals(deadline - 5_000_000, requirements.getValue("req-2").endByWallMicros)
        assertEquals(
            deadline - 35_000_000,
            requirements.getValue("req-1").endByWallMicros,
            "the deadline is propagated along the critical path",
        )
        assertEquals(setOf(JobPriority.HIGH), requirements.values.map { it.priority }.toSet())
        graph.remove("req-4")
        assertEquals(JobPriority.NORMAL, graph.inheritedRequirements { 0 }.getValue("req-1").priority)
        assertFalse("req-3" in graph.inheritedRequirements { 0 })
    }

    @Test
    fun `the start of a job is predicted once all its unmet dependencies are running or predicted`() {
        val graph = DependencyGraph()
        graph.put(blockedRecord(3, listOf(1, 2)), 1)
        graph.put(blockedRecord(4, listOf(3)), 2)
        val remaining = mutableMapOf("req-1" to 20L)
        fun predicted() = graph.predictedStarts(remaining::get) { 7L }.map { it.job.id to it.startsInMicros }
        assertEquals(emptyList<Pair<String, Long>>(), predicted(), "no start is predicted with a dependency that is not running")
        remaining["req-2"] = 50L
        assertEquals(
            listOf("req-3" to 50L, "req-4" to 57L),
            predicted(),
            "a job starts at the end of its last dependency, also if that is a predicted job",
        )
        graph.recordOutcome("req-2", JobOutcome.DONE)
        assertEquals(listOf("req-3" to 20L, "req-4" to 27L), predicted())
        graph.recordOutcome("req-1", JobOutcome.CANCELLED)
        assertEquals(emptyList<Pair<String, Long>>(), predicted())
    }
}

/** A random DAG of jobs; [random] decides what the store and the users do. Checks each decision of the graph. */
private class RandomPipeline(private val random: Random) {
    private val count = 5 + random.nextInt(40)
    private val dependencies = (0 until count).associateWith { id ->
        List(random.nextInt(4)) { random.nextInt(maxOf(1, id)) }.filter { it < id }.toSet()
    }
    private val outcomes = arrayOfNulls<JobOutcome>(count)
    private val graph = DependencyGraph()
    private val blocked = HashSet<Int>()
    private val notYetAdded = dependencies.keys.filter { dependencies.getValue(it).isNotEmpty() }.shuffled(random).toMutableList()
    private val active = dependencies.keys.filterTo(HashSet()) { dependencies.getValue(it).isEmpty() }
    private var revision = 0L
    private var nowMicros = 0L

    fun step() {
        nowMicros += 300_000
        if (notYetAdded.isNotEmpty() && random.nextInt(3) == 0) addBlockedJob(notYetAdded.removeLast())
        if (active.isNotEmpty() && random.nextInt(8) == 0) endActiveJob(active.random(random))
        val actions = graph.nextActions({ numberOf(it) in active }, nowMicros)
        actions.toRelease.forEach(::release)
        actions.toCancel.forEach(::cancel)
        actions.outcomesToRead.forEach(::readOutcome)
    }

    private fun addBlockedJob(id: Int) {
        blocked += id
        graph.put(blockedRecord(id, dependencies.getValue(id)), ++revision)
    }

    private fun endActiveJob(id: Int) {
        active -= id
        val outcome = if (random.nextInt(6) == 0) JobOutcome.CANCELLED else JobOutcome.DONE
        outcomes[id] = outcome
        // In half of the cases the graph is not informed of the outcome, so that it has to request a read of the outcome.
        if (random.nextBoolean()) graph.recordOutcome("req-$id", outcome)
    }

    private fun release(job: BlockedJob) {
        val id = numberOf(job.id)
        assertTrue(dependencies.getValue(id).all { outcomes[it] == JobOutcome.DONE }, "job $id is released with an unmet dependency")
        if (random.nextInt(3) == 0) return graph.markCommitFailed(listOf(job))
        graph.remove(job.id)
        blocked -= id
        active += id
    }

    private fun cancel(job: BlockedJob) {
        val id = numberOf(job.id)
        assertTrue(dependsOnCancelled(id), "job $id is cancelled only with one of its dependencies")
        if (random.nextInt(3) == 0) return graph.markCommitFailed(listOf(job))
        outcomes[id] = JobOutcome.CANCELLED
        graph.remove(job.id)
        blocked -= id
    }

    private fun readOutcome(jobId: String) {
        if (random.nextInt(4) != 0) graph.recordOutcome(jobId, outcomes[numberOf(jobId)] ?: JobOutcome.OPEN)
    }

    fun checkAllEnded(description: String) {
        assertEquals(emptySet<Int>(), blocked, "$description: no job stays blocked forever")
        assertTrue(graph.isEmpty)
        for (id in 0 until count) {
            val isCancelledWithDependency = outcomes[id] == JobOutcome.CANCELLED && dependencies.getValue(id).any(::isCancelled)
            assertEquals(dependsOnCancelled(id), isCancelledWithDependency, "$description: job $id is cancelled exactly if a dependency is")
        }
    }

    private fun isCancelled(id: Int): Boolean = outcomes[id] == JobOutcome.CANCELLED || dependsOnCancelled(id)

    private fun dependsOnCancelled(id: Int): Boolean = dependencies.getValue(id).any(::isCancelled)

    private fun numberOf(jobId: String): Int = jobId.removePrefix("req-").toInt()
}
