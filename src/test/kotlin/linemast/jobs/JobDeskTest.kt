package linemast.jobs

import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.runTest
import linemast.cloud.MachineType
import linemast.settings.Team
import linemast.simulation.SimStore
import linemast.state.Write
import linemast.wire.Cbor
import linemast.wire.Clock
import linemast.wire.HttpRequest
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test
import kotlin.random.Random

class JobDeskTest {
    private val types = listOf(MachineType("t", 8.0, 0.0, 64.0, 10.0, 1.0, 1.0, 0.3, 30_000_000, listOf("z")))

    @Test
    fun `statuses of submissions, polls and cancellations`() = runTest {
        val store = store()
        val desk = desk(store) { types }
        assertEquals(listOf(201, 200), listOf(submit(desk, job()), submit(desk, job())))
        assertEquals(422, submit(desk, job("name_id" to "req-000002", "crew" to "nobody")))
        assertEquals(422, submit(desk, job("name_id" to "req-000003", "vcpus" to 9.0)))
        assertEquals(422, submit(desk, job("name_id" to "req-000004", "shape" to "gang", "pieces" to 5, "vcpus" to 4.0)))
        assertEquals(listOf(200, 404, 404), listOf("req-000001", "req-000009", "nonsense").map { poll(desk, it) })
        assertEquals(listOf(200, 404), listOf("req-000001", "req-000009").map { cancel(desk, it) })
        assertEquals(200, submit(desk, job()))
        assertEquals("withdrawn", store.valueOf("j/req-000001")?.text("verdict"))
    }

    @Test
    fun `a job accepted once stays accepted when it could not be run any more`() = runTest {
        val store = store()
        assertEquals(201, submit(desk(store) { types }, job()))
        assertEquals(200, submit(desk(store) { emptyList() }, job()))
    }

    @Test
    fun `no verdict, no answer - outage, unknown types and unreadable records are 503`() = runTest {
        val store = store()
        assertEquals(503, submit(desk(store) { null }, job()))
        store.clientOf("test").commit(emptyList(), listOf(Write.Put("j/req-000001", mapOf("verdict" to 7))))
        val desk = desk(store) { types }
        assertEquals(listOf(503, 503, 503), listOf(poll(desk, "req-000001"), cancel(desk, "req-000001"), submit(desk, job())))
        store.startOutage()
        assertEquals(listOf(503, 503), listOf(poll(desk, "req-000009"), submit(desk, job("name_id" to "req-000008"))))
    }

    private fun TestScope.store() = SimStore(backgroundScope, Clock { testScheduler.currentTime * 1_000 + 1 }, Random(1))

    private fun TestScope.desk(store: SimStore, types: () -> List<MachineType>?) = JobDesk(
        store.clientOf("mast-0"), backgroundScope, mapOf("team" to Team("team", 8.0, 16.0, 0.0, 0.0)), types, { null }, { 0L }, 8 * 1024,
    )

    private suspend fun submit(desk: JobDesk, job: Map<String, Any?>) = status(desk, "POST", "/v1/jobs", Cbor.encode(job))

    private suspend fun poll(desk: JobDesk, id: String) = status(desk, "GET", "/v1/jobs/$id", ByteArray(0))

    private suspend fun cancel(desk: JobDesk, id: String) = status(desk, "POST", "/v1/jobs/$id/cancel", ByteArray(0))

    private suspend fun status(desk: JobDesk, method: String, path: String, body: ByteArray): Int? =
        desk.handle(HttpRequest(method, path, "", body))?.status

    private fun job(vararg changes: Pair<String, Any?>): Map<String, Any?> = mapOf(
        "name_id" to "req-000001", "lane" to "lane", "crew" to "team", "shape" to "sweep", "urgency" to "normal", "pieces" to 3,
        "vcpus" to 1.0, "gpus" to 0.0, "memory_gb" to 1.0, "bundle" to "img", "pull_gb" to 1.0, "same_place" to false,
        "apart" to false, "loaners" to true, "guess_s" to 5.0, "mark_every_s" to 0.0, "mark_s" to 0.0, "due_s" to 60.0,
    ) + changes
}
