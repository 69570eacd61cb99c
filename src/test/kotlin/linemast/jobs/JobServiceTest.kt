package linemast.jobs

import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.runTest
import linemast.admission.AdmissionController
import linemast.admission.AdmissionPlan
import linemast.admission.Flow
import linemast.admission.FlowClassifier
import linemast.admission.HashRange
import linemast.admission.HashRing
import linemast.domain.JobOutcome
import linemast.domain.JobRecord
import linemast.domain.MachineType
import linemast.domain.OutcomeRecord
import linemast.serialization.Cbor
import linemast.serialization.Fields
import linemast.serialization.JsonSize
import linemast.serialization.MalformedException
import linemast.settings.Team
import linemast.simulation.SimStore
import linemast.store.CommitResult
import linemast.store.Entry
import linemast.store.KeyValueStore
import linemast.store.Precondition
import linemast.store.RequestPriority
import linemast.store.Write
import linemast.time.Clock
import linemast.transport.HttpRequest
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertThrows
import org.junit.jupiter.api.Test
import kotlin.random.Random

class JobServiceTest {
    private val types = listOf(MachineType("t", 8.0, 0.0, 64.0, 10.0, 1.0, 1.0, 0.3, 30_000_000, listOf("z")))

    @Test
    fun `statuses of submissions, polls and cancellations`() = runTest {
        val store = store()
        val jobService = jobService(store) { types }
        assertEquals(listOf(201, 200), listOf(submit(jobService, job()), submit(jobService, job())))
        assertEquals(422, submit(jobService, job("name_id" to "req-000002", "crew" to "nobody")))
        assertEquals(422, submit(jobService, job("name_id" to "req-000003", "vcpus" to 9.0)))
        assertEquals(422, submit(jobService, job("name_id" to "req-000004", "shape" to "gang", "pieces" to 5, "vcpus" to 4.0)))
        assertEquals(listOf(200, 404, 404), listOf("req-000001", "req-000009", "nonsense").map { poll(jobService, it) })
        assertEquals(listOf(200, 404), listOf("req-000001", "req-000009").map { cancel(jobService, it) })
        assertEquals(200, submit(jobService, job()))
        assertEquals("withdrawn", store.valueOf("j/req-000001")?.text("verdict"))
    }

    @Test
    fun `a job accepted once stays accepted when it could not be run any more`() = runTest {
        val store = store()
        assertEquals(201, submit(jobService(store) { types }, job()))
        assertEquals(200, submit(jobService(store) { emptyList() }, job()))
    }

    @Test
    fun `no outcome, no answer - outage, unknown types and unreadable records are 503`() = runTest {
        val store = store()
        assertEquals(503, submit(jobService(store) { null }, job()))
        store.clientOf("test").commit(emptyList(), listOf(Write.Put("j/req-000001", mapOf("verdict" to 7))))
        val jobService = jobService(store) { types }
        assertEquals(
            listOf(503, 503, 503),
            listOf(poll(jobService, "req-000001"), cancel(jobService, "req-000001"), submit(jobService, job())),
        )
        store.startOutage()
        assertEquals(listOf(503, 503), listOf(poll(jobService, "req-000009"), submit(jobService, job("name_id" to "req-000008"))))
    }

    @Test
    fun `a submission whose turn has not come is told when, and what is known or depends on others is not put off`() = runTest {
        val store = store()
        val clock = Clock { testScheduler.currentTime * 1_000 + 1 }
        val gate = AdmissionController(FlowClassifier(emptyList()), clock)
        val jobService = jobService(store, admission = gate) { types }
        assertEquals(201, submit(jobService, job()))
        val position = HashRing.advance(HashRing.positionOf("req-000002"), HashRing.SIZE / 2)
        val range = HashRange(position, length = 0, rate = HashRing.SIZE / 16)
        gate.apply(AdmissionPlan(1, 1, mapOf(Flow("team", "*") to range)))
        val later = jobService.handle(HttpRequest("POST", "/v1/jobs", "", Cbor.encode(job("name_id" to "req-000002"))))
        assertEquals(429 to 8, later?.status to later?.retryAfterSeconds)
        assertEquals(404, poll(jobService, "req-000002"), "nothing is stored of it")
        assertEquals(200, submit(jobService, job()), "it was accepted before")
        assertEquals(201, submit(jobService, job("name_id" to "req-000003", "awaits" to listOf("req-000001"))))
        assertEquals(201, submit(jobService, job("name_id" to "req-000004", "crew" to "other")), "another team's")
        assertEquals(422, submit(jobService, job("name_id" to "req-000005", "vcpus" to 9.0)))
        gate.apply(AdmissionPlan(2, 1, mapOf(Flow("team", "*") to range.copy(position = HashRing.positionOf("req-000002")))))
        assertEquals(201, submit(jobService, job("name_id" to "req-000002")))
        gate.apply(AdmissionPlan(1, 1, mapOf(Flow("team", "*") to range)))
        assertEquals(2L, gate.plan.epoch, "an older plan changes nothing")
        assertEquals(429, submit(jobService, job("name_id" to "req-000006")))
        delay(61_000)
        assertEquals(201, submit(jobService, job("name_id" to "req-000006")), "a plan that nobody renews is not kept to for ever")
    }

    @Test
    fun `submissions that await others`() = runTest {
        val store = store()
        val jobService = jobService(store) { types }
        fun child(id: Int, vararg dependencies: Int) = job(
            "name_id" to "req-%06d".format(id),
            "awaits" to dependencies.map { "req-%06d".format(it) },
        )
        submit(jobService, job())
        assertEquals(listOf(201, 200), listOf(submit(jobService, child(2, 1, 1)), submit(jobService, child(2, 1))))
        assertEquals(
            listOf(422, 422),
            listOf(submit(jobService, child(3, 1, 9)), submit(jobService, child(3, 3))),
            "never accepted, itself included",
        )
        assertEquals(200, submit(jobService, child(2, 9)), "a repeat gets its state, whatever it names")
        for (bad in listOf("req-000001", listOf("nonsense"), listOf(1), List(65) { "req-$it" })) {
            assertThrows(MalformedException::class.java, {
                runBlocking { submit(jobService, job("name_id" to "req-000004", "awaits" to bad)) }
            }, "$bad")
        }
        assertEquals(201, submit(jobService, job("name_id" to "req-000004", "awaits" to emptyList<String>())))
        assertEquals(setOf("o/req-000001", "o/req-000004"), store.keysUnder("o/"), "a waiting job is not where it could be started")
        assertEquals(setOf("w/req-000002"), store.keysUnder("w/"))
        store.startOutage()
        assertEquals(503, submit(jobService, child(5, 1)), "the store cannot say")
    }

    /** Without a leader: each controller that is asked finds the cancelled one and commits before it answers. */
    @Test
    fun `a cancellation reaches all that need the job, at any controller and without a leader`() = runTest {
        val store = store()
        fun id(at: Int) = "req-%06d".format(at)
        submit(jobService(store) { types }, job())
        // A chain, a fan and a diamond on its end.
        for (at in 2..9) submit(jobService(store) { types }, job("name_id" to id(at), "awaits" to listOf(id(at - 1))))
        for (at in 10..29) submit(jobService(store) { types }, job("name_id" to id(at), "awaits" to listOf(id(9))))
        submit(jobService(store) { types }, job("name_id" to id(30), "awaits" to (10..29).map(::id)))
        assertEquals("pending", state(jobService(store) { types }, id(30)))
        assertEquals(200, cancel(jobService(store) { types }, id(1)))
        assertEquals("withdrawn", state(jobService(store) { types }, id(30)))
        assertEquals("withdrawn", store.valueOf("j/${id(30)}")?.text("verdict"))
        for (at in 2..29) assertEquals("withdrawn", state(jobService(store) { types }, id(at)))
        assertEquals(emptySet<String>(), store.keysUnder("w/"))
        val late = jobService(store) { types }
        assertEquals(201, submit(late, job("name_id" to id(31), "awaits" to listOf(id(30)))), "accepted all the same")
        assertEquals("withdrawn", state(late, id(31)))
        assertEquals(setOf("o/${id(1)}"), store.keysUnder("o/"))
    }

    /** Looking at what a job needs takes a while: a cancellation confirmed meanwhile must not be answered with an older state. */
    @Test
    fun `a job cancelled while its ancestors are looked at is not called pending`() = runTest {
        val store = store()
        submit(jobService(store) { types }, job())
        submit(jobService(store) { types }, job("name_id" to "req-000002", "awaits" to listOf("req-000001")))
        val other = jobService(store) { types }
        val inner = store.clientOf("mast-0")
        val slow = object : KeyValueStore by inner {
            override suspend fun get(key: String, priority: RequestPriority): Entry? =
                inner.get(key, priority).also { if (key == "j/req-000001") assertEquals(200, cancel(other, "req-000002")) }
        }
        assertEquals("withdrawn", state(jobService(slow) { types }, "req-000002"))
    }

    /** The leader releases a waiting job while its cancellation through another controller is on its way. */
    @Test
    fun `a job released just before its cancellation is carried out is cancelled where it stands then`() = runTest {
        val store = store()
        submit(jobService(store) { types }, job())
        submit(jobService(store) { types }, job("name_id" to "req-000002", "awaits" to listOf("req-000001")))
        val inner = store.clientOf("mast-0")
        val waiting = JobRecordCodec.decodeJob(requireNotNull(inner.get(JobKeys.waiting("req-000002"))).value)
        var isReleased = false
        val racing = object : KeyValueStore by inner {
            override suspend fun commit(preconditions: List<Precondition>, writes: List<Write>, priority: RequestPriority): CommitResult {
                if (!isReleased) {
                    isReleased = true
                    val released = Write.Put(JobKeys.open("req-000002"), JobRecordCodec.encode(waiting.released(5)))
                    inner.commit(emptyList(), listOf(released, Write.Delete(JobKeys.waiting("req-000002"))))
                }
                return inner.commit(preconditions, writes, priority)
            }
        }
        assertEquals(200, cancel(jobService(racing) { types }, "req-000002"))
        assertEquals("withdrawn", store.valueOf(JobKeys.outcome("req-000002"))?.text("verdict"))
        assertEquals(true, store.valueOf(JobKeys.open("req-000002"))?.flag("withdrawn"), "the leader is told to stop it")
        assertEquals(emptySet<String>(), store.keysUnder("w/"))
    }

    /** Of another team, over for long, just accepted by another controller, named by a controller that has seen none of them. */
    @Test
    fun `any accepted job may be named, whatever its state, and unknown ones at any number are refused`() = runTest {
        val store = store()
        fun id(at: Int) = "req-%06d".format(at)
        submit(jobService(store) { types }, job("name_id" to id(1)))
        submit(jobService(store) { types }, job("name_id" to id(2), "crew" to "other"))
        store.clientOf(
            "test",
        ).commit(emptyList(), listOf(Write.Put("j/${id(3)}", JobRecordCodec.encode(OutcomeRecord(JobOutcome.DONE, 3)))))
        val names = listOf(id(1), id(2), id(3))
        assertEquals(201, submit(jobService(store) { types }, job("name_id" to id(4), "awaits" to names)))
        assertEquals("pending", state(jobService(store) { types }, id(4)))
        for (at in 5..67) submit(jobService(store) { types }, job("name_id" to id(at)))
        val all = (5..67).map(::id)
        assertEquals(201, submit(jobService(store) { types }, job("name_id" to id(80), "awaits" to all)), "as many as may be named")
        assertEquals(422, submit(jobService(store) { types }, job("name_id" to id(81), "awaits" to all + id(99))), "one of them unknown")
        val tooMany = List(4_000) { id(1_000 + it) }
        assertThrows(MalformedException::class.java, {
            runBlocking {
                submit(
                    jobService(store) { types },
                    job(
                        "name_id" to id(82),
                        "awaits" to tooMany,
                    ),
                )
            }
        })
    }

    /** The size of a stored job is counted in the form in which the store counts it. */
    @Test
    fun `a job just at, under and over what a value takes`() = runTest {
        val record = JobRecordCodec.encode(JobRecord(JobCodec.decode(Fields(job())), 0L, opened = false, cancelled = false))
        val size = JsonSize.of(record)
        assertEquals(201, submit(jobService(store(), maxValueBytes = size) { types }, job()))
        assertEquals(201, submit(jobService(store(), maxValueBytes = size + 1) { types }, job()))
        assertThrows(MalformedException::class.java) {
            runBlocking { submit(jobService(store(), maxValueBytes = size - 1) { types }, job()) }
        }
    }

    @Test
    fun `what awaits only jobs that are done need not wait`() = runTest {
        val store = store()
        val jobService = jobService(store) { types }
        store.clientOf(
            "test",
        ).commit(emptyList(), listOf(Write.Put("j/req-000007", JobRecordCodec.encode(OutcomeRecord(JobOutcome.DONE, 3)))))
        assertEquals(201, submit(jobService, job("awaits" to listOf("req-000007"))))
        assertEquals(setOf("o/req-000001"), store.keysUnder("o/"))
    }

    @Test
    fun `a job that no value can take is refused at once`() = runTest {
        val store = store()
        val jobService = jobService(store, maxValueBytes = 700) { types }
        assertEquals(
            201,
            submit(
                jobService,
                job(
                    "builds" to listOf("t") + List(100) {
                        "none-$it"
                    },
                ),
            ),
            "names of types that there are none of are not kept",
        )
        assertThrows(MalformedException::class.java) {
            runBlocking {
                submit(
                    jobService,
                    job(
                        "name_id" to "req-000002",
                        "bundle" to "x".repeat(200),
                        "lane" to "y".repeat(200),
                    ),
                )
            }
        }
    }

    private fun TestScope.store() = SimStore(backgroundScope, Clock { testScheduler.currentTime * 1_000 + 1 }, Random(1))

    private fun TestScope.jobService(
        store: SimStore,
        maxValueBytes: Int = 8 * 1024,
        admission: AdmissionController? = null,
        types: () -> List<MachineType>?,
    ) = jobService(store.clientOf("mast-0"), maxValueBytes, admission, types)

    private fun TestScope.jobService(
        store: KeyValueStore,
        maxValueBytes: Int = 8 * 1024,
        admission: AdmissionController? = null,
        types: () -> List<MachineType>?,
    ) = JobService(
        store, backgroundScope,
        listOf("team", "other").associateWith {
            Team(it, 8.0, 16.0, 0.0, 0.0)
        },
        types, { null }, { 0L }, maxValueBytes,
        Clock { testScheduler.currentTime * 1_000 + 1 }, CANCEL_MICROS, admission,
    )

    private suspend fun submit(jobService: JobService, job: Map<String, Any?>) = status(jobService, "POST", "/v1/jobs", Cbor.encode(job))

    private suspend fun poll(jobService: JobService, id: String) = status(jobService, "GET", "/v1/jobs/$id", ByteArray(0))

    private suspend fun cancel(jobService: JobService, id: String) = status(jobService, "POST", "/v1/jobs/$id/cancel", ByteArray(0))

    private suspend fun state(jobService: JobService, id: String): String? =
        jobService.handle(HttpRequest("GET", "/v1/jobs/$id", "", ByteArray(0)))?.let { Cbor.decodeMap(it.body).text("status") }

    private suspend fun status(jobService: JobService, method: String, path: String, body: ByteArray): Int? =
        jobService.handle(HttpRequest(method, path, "", body))?.status

    private companion object {
        const val CANCEL_MICROS = 36_000_000L
    }

    private fun job(vararg changes: Pair<String, Any?>): Map<String, Any?> = mapOf(
        "name_id" to "req-000001", "lane" to "lane", "crew" to "team", "shape" to "sweep", "urgency" to "normal", "pieces" to 3,
        "vcpus" to 1.0, "gpus" to 0.0, "memory_gb" to 1.0, "bundle" to "img", "pull_gb" to 1.0, "same_place" to false,
        "apart" to false, "loaners" to true, "guess_s" to 5.0, "mark_every_s" to 0.0, "mark_s" to 0.0, "due_s" to 60.0,
    ) + changes
}
