package linemast.jobs

import kotlinx.coroutines.delay
import kotlinx.coroutines.test.runTest
import linemast.admission.AdmissionController
import linemast.admission.AdmissionPlan
import linemast.admission.Flow
import linemast.admission.FlowClassifier
import linemast.admission.HashRange
import linemast.admission.HashRing
import linemast.serialization.Cbor
import linemast.time.Clock
import linemast.transport.HttpRequest
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

/** Guards against admission control that defers accepted, dependent or unrelated jobs, or that admits too much. */
class SubmissionDeferralTest {
    @Test
    fun `a submission that exceeds the share of its flow gets 429 with a delay, repeated and dependent ones are not deferred`() = runTest {
        val store = store()
        val clock = Clock { testScheduler.currentTime * 1_000 + 1 }
        val admission = AdmissionController(FlowClassifier(emptyList()), clock)
        val jobService = jobService(store, admission = admission)
        assertEquals(201, submit(jobService, job()))
        val position = HashRing.advance(HashRing.positionOf("req-000002"), HashRing.SIZE / 2)
        val range = HashRange(position, length = 0, rate = HashRing.SIZE / 16)
        admission.apply(AdmissionPlan(1, 1, mapOf(Flow("team", "*") to range)))
        val deferred = jobService.handle(HttpRequest("POST", "/v1/jobs", "", Cbor.encode(job("name_id" to "req-000002"))))
        assertEquals(429 to 8, deferred?.status to deferred?.retryAfterSeconds)
        assertEquals(404, queryStatus(jobService, "req-000002"), "a deferred submission stores nothing")
        assertEquals(200, submit(jobService, job()), "a job that was accepted before is not deferred")
        assertEquals(201, submit(jobService, job("name_id" to "req-000003", "awaits" to listOf("req-000001"))))
        assertEquals(201, submit(jobService, job("name_id" to "req-000004", "crew" to "other")), "another team is not deferred")
        assertEquals(422, submit(jobService, job("name_id" to "req-000005", "vcpus" to 9.0)))
        admission.apply(AdmissionPlan(2, 1, mapOf(Flow("team", "*") to range.copy(position = HashRing.positionOf("req-000002")))))
        assertEquals(201, submit(jobService, job("name_id" to "req-000002")))
        admission.apply(AdmissionPlan(1, 1, mapOf(Flow("team", "*") to range)))
        assertEquals(2L, admission.plan.epoch, "an older plan changes nothing")
        assertEquals(429, submit(jobService, job("name_id" to "req-000006")))
        delay(61_000)
        assertEquals(201, submit(jobService, job("name_id" to "req-000006")), "a plan that is not renewed expires")
    }
}
