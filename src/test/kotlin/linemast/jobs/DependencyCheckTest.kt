package linemast.jobs

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.async
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.runTest
import linemast.domain.JobOutcome
import linemast.domain.JobRecord
import linemast.domain.MachineType
import linemast.domain.OutcomeRecord
import linemast.serialization.Cbor
import linemast.settings.Team
import linemast.simulation.SimStore
import linemast.store.CommitResult
import linemast.store.Entry
import linemast.store.EntryPage
import linemast.store.KeyValueStore
import linemast.store.Precondition
import linemast.store.RequestPriority
import linemast.store.StoreException
import linemast.store.TokenBucket
import linemast.store.Write
import linemast.testSpec
import linemast.time.Clock
import linemast.transport.HttpRequest
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.EnumSource
import kotlin.random.Random

/**
 * Guards against jobs that are reported as pending although a job that they depend on was cancelled.
 *
 * The dependency graphs are large and there is no leader, so the controllers that get the requests have to find the
 * cancelled root themselves.
 */
class DependencyCheckTest {
    enum class Graph(val dependencies: List<List<Int>>) {
        /** A chain that is too long for a search with one call per job to finish before the timeout. */
        CHAIN((0..400).map { if (it == 0) emptyList() else listOf(it - 1) }),

        /** Five levels, each with as many jobs as a job may depend on; each job depends on all jobs of the level before. */
        FAN(listOf(emptyList<Int>()) + (0 until 5 * WIDTH).map { index -> levelBefore(index / WIDTH) }),

        /** A root, two chains of sixty jobs, and a job that depends on the ends of both chains. */
        DIAMOND(
            listOf(emptyList<Int>()) + (1..60).map { listOf(it - 1) } + (61..120).map { listOf(if (it == 61) 0 else it - 1) } +
                listOf(listOf(60, 120)),
        ),
    }

    /** Three controllers with filled caches, each within its share of the store's rate limit, and no leader. */
    @ParameterizedTest
    @EnumSource(Graph::class)
    fun `no controller reports a dependent job as pending after the time limit of the cancellation of its root`(graph: Graph) = runTest {
        val clock = Clock { testScheduler.currentTime * 1_000 + 1 }
        val store = SimStore(backgroundScope, clock, Random(5))
        write(store, graph)
        val services = List(3) { controller -> service(RateLimitedStore(store.clientOf("mast-$controller"), clock), clock) }
        val ids = graph.dependencies.indices.map(::id)
        val polledIds = ids.shuffled(Random(6)).take(30) + ids.last()
        val statesBefore = poll(services, polledIds, rounds = 4)
        assertTrue(
            statesBefore.count {
                it == "pending"
            } > statesBefore.size * 9 / 10,
            "too few pending jobs before the cancellation: ${statesBefore.groupingBy { it }.eachCount()}",
        )
        assertEquals("withdrawn", status(services[0], "POST", "/v1/jobs/${ids.first()}/cancel"))
        val cancelledMicros = clock.nowMicros()
        while (clock.nowMicros() < cancelledMicros + CANCELLATION_MICROS) poll(services, polledIds.take(3), rounds = 1)
        val statesAfter = poll(services, polledIds, rounds = 4)
        assertTrue("pending" !in statesAfter, "jobs pending after the time limit: ${statesAfter.groupingBy { it }.eachCount()}")
        assertTrue(
            statesAfter.count { it == "withdrawn" } > statesAfter.size * 9 / 10,
            "too few cancelled jobs after the time limit: ${statesAfter.groupingBy { it }.eachCount()}",
        )
    }

    /** The last jobs of a pipeline may be submitted long after its root was cancelled, while no leader cancels dependent jobs. */
    @ParameterizedTest
    @EnumSource(Graph::class)
    fun `a job that depends on a root cancelled long ago is cancelled when it is accepted`(graph: Graph) = runTest {
        val clock = Clock { testScheduler.currentTime * 1_000 + 1 }
        val store = SimStore(backgroundScope, clock, Random(7))
        write(store, graph)
        val last = graph.dependencies.lastIndex
        assertEquals("withdrawn", status(service(store.clientOf("mast-1"), clock), "POST", "/v1/jobs/${id(0)}/cancel"))
        delay(CANCELLATION_MICROS / 1_000)
        val job = JobSpecCodec.encode(testSpec(id(last + 1), "awaits" to listOf(id(last))))
        val service = service(RateLimitedStore(store.clientOf("mast-0"), clock), clock)
        val states = List(5) { status(service, "POST", "/v1/jobs", Cbor.encode(job)).also { delay(1_000) } }
        assertEquals("withdrawn", states.last(), "$states")
        assertTrue("pending" !in states, "$states")
    }

    /**
     * A check runs in the scope of its controller and is cancelled when the controller stops. If this cancelled the callers too,
     * a simulated user that waits for the result would stop polling.
     */
    @Test
    fun `when a controller stops, callers of its checks get a store exception and are not cancelled`() = runTest {
        val clock = Clock { testScheduler.currentTime * 1_000 + 1 }
        val store = SimStore(backgroundScope, clock, Random(8))
        write(store, Graph.CHAIN)
        val controller = CoroutineScope(backgroundScope.coroutineContext + Job())
        val check = DependencyCheck(
            OutcomeReader(store.clientOf("mast-0"), controller, clock, CANCELLATION_MICROS),
            controller,
            CANCELLATION_MICROS,
            acknowledgedCancellations(clock),
        )
        val caller = async { runCatching { check.dependsOnCancelled(listOf(id(400))) } }
        delay(5)
        controller.cancel()
        val failure = caller.await().exceptionOrNull()
        assertTrue(failure is StoreException, "$failure")
    }

    private suspend fun poll(services: List<JobService>, ids: List<String>, rounds: Int): List<String?> = buildList {
        repeat(rounds) { round ->
            for ((index, id) in ids.withIndex()) {
                add(status(services[(index + round) % services.size], "GET", "/v1/jobs/$id"))
                delay(150)
            }
        }
    }

    private suspend fun status(service: JobService, method: String, path: String, body: ByteArray = ByteArray(0)): String? {
        val response = service.handle(HttpRequest(method, path, "", body)) ?: return null
        return if (response.status in 200..201) Cbor.decodeMap(response.body).text("status") else response.status.toString()
    }

    private suspend fun write(store: SimStore, graph: Graph) {
        val client = store.clientOf("users")
        for ((index, dependencies) in graph.dependencies.withIndex()) {
            val spec = testSpec(id(index), "awaits" to dependencies.map(::id))
            val record = JobRecord(spec, 0, activated = false, cancelled = false)
            val key = if (dependencies.isEmpty()) JobKeys.open(spec.id) else JobKeys.blocked(spec.id)
            val outcome = OutcomeRecord(JobOutcome.OPEN, spec.taskCount, spec.dependencies)
            client.commit(
                emptyList(),
                listOf(
                    Write.Put(JobKeys.outcome(spec.id), OutcomeRecordCodec.encode(outcome)),
                    Write.Put(key, JobRecordCodec.encode(record)),
                ),
            )
        }
    }

    private fun TestScope.service(store: KeyValueStore, clock: Clock) = JobService(
        settings = JobServiceSettings(mapOf("team" to Team("team", 8.0, 16.0, 0.0, 0.0)), VALUE_BYTES, CANCELLATION_MICROS),
        store = store,
        scope = backgroundScope,
        clock = clock,
        wallMicros = { 0L },
        machineTypes = { TYPES },
        progress = { null },
        cancellationBarrier = acknowledgedCancellations(clock),
    )

    /** Limits the rate of calls like a controller's rate limiter, and fails a call that would have to wait too long for a token. */
    private class RateLimitedStore(private val store: KeyValueStore, private val clock: Clock) : KeyValueStore by store {
        private val requests = TokenBucket(REQUESTS_PER_SECOND)

        private suspend fun awaitToken(priority: RequestPriority) {
            val deadline = clock.nowMicros() + priority.queueTimeoutMicros
            while (!requests.tryTake(1, priority, clock.nowMicros())) {
                val wait = requests.waitMicros(1, priority, clock.nowMicros())
                if (clock.nowMicros() + wait > deadline) throw StoreException.RateLimited()
                delay(wait / 1_000 + 1)
            }
        }

        override suspend fun get(key: String, priority: RequestPriority): Entry? {
            awaitToken(priority)
            return store.get(key, priority)
        }

        /** Returns pages as large as those of the real store; the pages of [SimStore] have only a few entries. */
        override suspend fun list(prefix: String, after: String?): EntryPage {
            awaitToken(RequestPriority.NORMAL)
            val entries = ArrayList<Entry>()
            var page = store.list(prefix, after)
            val revision = page.revision
            while (true) {
                entries += page.entries
                if (!page.truncated || entries.size >= PAGE_ENTRIES) return EntryPage(entries, page.truncated, revision)
                page = store.list(prefix, entries.last().key)
            }
        }

        override suspend fun commit(preconditions: List<Precondition>, writes: List<Write>, priority: RequestPriority): CommitResult {
            awaitToken(priority)
            return store.commit(preconditions, writes, priority)
        }
    }

    private companion object {
        const val WIDTH = 64
        const val CANCELLATION_MICROS = 36_000_000L
        const val VALUE_BYTES = 8 * 1024
        const val REQUESTS_PER_SECOND = 30.0
        const val PAGE_ENTRIES = 500
        val TYPES = listOf(MachineType("t", 8.0, 0.0, 64.0, 10.0, 1.0, 1.0, 0.3, 30_000_000, listOf("z")))

        fun id(number: Int) = "req-%06d".format(number)

        /** Returns the numbers of the jobs of the level before [level]; before the first level there is only the root. */
        fun levelBefore(level: Int): List<Int> = if (level == 0) listOf(0) else List(WIDTH) { 1 + (level - 1) * WIDTH + it }
    }
}
