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

/** Large dependency graphs without a leader: the controllers that are asked have to find a cancelled root by themselves. */
class DependencyCheckTest {
    enum class Graph(val dependencies: List<List<Int>>) {
        /** Longer than any walk that takes a call for each job could go in time. */
        CHAIN((0..400).map { if (it == 0) emptyList() else listOf(it - 1) }),

        /** Five levels of the largest size that a job may name, each job naming all of the level before. */
        FAN(listOf(emptyList<Int>()) + (0 until 5 * WIDTH).map { at -> levelBefore(at / WIDTH) }),

        /** A root, two chains of sixty, and a job that names the ends of both. */
        DIAMOND(
            listOf(emptyList<Int>()) + (1..60).map { listOf(it - 1) } + (61..120).map { listOf(if (it == 61) 0 else it - 1) } +
                listOf(listOf(60, 120)),
        ),
    }

    /** Three controllers with warm caches, each within its part of the store's rate; the leader is away for good. */
    @ParameterizedTest
    @EnumSource(Graph::class)
    fun `no controller reports a dependent job as pending once the cancellation time of its root is over`(graph: Graph) = runTest {
        val clock = Clock { testScheduler.currentTime * 1_000 + 1 }
        val store = SimStore(backgroundScope, clock, Random(5))
        write(store, graph)
        val services = List(3) { at -> service(RateLimitedStore(store.clientOf("mast-$at"), clock), clock) }
        val ids = graph.dependencies.indices.map(::id)
        val polledIds = ids.shuffled(Random(6)).take(30) + ids.last()
        val statesBefore = poll(services, polledIds, rounds = 4)
        assertTrue(
            statesBefore.count {
                it == "pending"
            } > statesBefore.size * 9 / 10,
            "answered while nothing is cancelled: ${statesBefore.groupingBy { it }.eachCount()}",
        )
        assertEquals("withdrawn", status(services[0], "POST", "/v1/jobs/${ids.first()}/cancel"))
        val cancelledMicros = clock.nowMicros()
        while (clock.nowMicros() < cancelledMicros + CANCELLATION_MICROS) poll(services, polledIds.take(3), rounds = 1)
        val statesAfter = poll(services, polledIds, rounds = 4)
        assertTrue("pending" !in statesAfter, "called pending: ${statesAfter.groupingBy { it }.eachCount()}")
        assertTrue(
            statesAfter.count { it == "withdrawn" } > statesAfter.size * 9 / 10,
            "answered: ${statesAfter.groupingBy { it }.eachCount()}",
        )
    }

    /** The last jobs of a pipeline may be submitted when its root is cancelled for long and nobody was there to pass that on. */
    @ParameterizedTest
    @EnumSource(Graph::class)
    fun `a job that depends on a root cancelled long ago is accepted as cancelled`(graph: Graph) = runTest {
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

    /** Once a check passed its cancellation on to whoever waited for it: a user of the simulation then asked no more. */
    @Test
    fun `a check that ends with its controller fails its callers with a store error and does not cancel them`() = runTest {
        val clock = Clock { testScheduler.currentTime * 1_000 + 1 }
        val store = SimStore(backgroundScope, clock, Random(8))
        write(store, Graph.CHAIN)
        val controller = CoroutineScope(backgroundScope.coroutineContext + Job())
        val check = DependencyCheck(
            OutcomeReader(store.clientOf("mast-0"), controller, clock, CANCELLATION_MICROS),
            controller,
            CANCELLATION_MICROS,
        )
        val caller = async { runCatching { check.dependsOnCancelled(listOf(id(400))) } }
        delay(5)
        controller.cancel()
        val failure = caller.await().exceptionOrNull()
        assertTrue(failure is StoreException, "$failure")
    }

    private suspend fun poll(services: List<JobService>, ids: List<String>, rounds: Int): List<String?> = buildList {
        repeat(rounds) { round ->
            for ((at, id) in ids.withIndex()) {
                add(status(services[(at + round) % services.size], "GET", "/v1/jobs/$id"))
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
        for ((at, dependencies) in graph.dependencies.withIndex()) {
            val spec = testSpec(id(at), "awaits" to dependencies.map(::id))
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
    )

    /** Takes the tokens that a controller has for its calls, and rejects a call that would have to wait too long for one. */
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

        /** Pages as large as the store gives them, where its stand-in gives few records a page. */
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

        fun id(at: Int) = "req-%06d".format(at)

        /** Job numbers of the level before [level]; the root alone before the first. */
        fun levelBefore(level: Int): List<Int> = if (level == 0) listOf(0) else List(WIDTH) { 1 + (level - 1) * WIDTH + it }
    }
}
