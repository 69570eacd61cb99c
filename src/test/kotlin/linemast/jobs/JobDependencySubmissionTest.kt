package linemast.jobs

import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.test.runTest
import linemast.domain.JobOutcome
import linemast.domain.OutcomeRecord
import linemast.serialization.MalformedException
import linemast.store.Write
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertThrows
import org.junit.jupiter.api.Test

/** Guards against accepted jobs with unknown dependencies, and against jobs that may start before their dependencies are done. */
class JobDependencySubmissionTest {
    @Test
    fun `a job with dependencies is accepted only if all of them were accepted, and is stored as blocked`() = runTest {
        val store = store()
        val jobService = jobService(store)
        fun dependentJob(id: Int, vararg dependencies: Int) = job(
            "name_id" to "req-%06d".format(id),
            "awaits" to dependencies.map { "req-%06d".format(it) },
        )
        submit(jobService, job())
        assertEquals(listOf(201, 200), listOf(submit(jobService, dependentJob(2, 1, 1)), submit(jobService, dependentJob(2, 1))))
        assertEquals(
            listOf(422, 422),
            listOf(submit(jobService, dependentJob(3, 1, 9)), submit(jobService, dependentJob(3, 3))),
            "rejected: a dependency was never accepted, or is the job itself",
        )
        assertEquals(200, submit(jobService, dependentJob(2, 9)), "a repeated submission with other dependencies gets the status")
        for (malformed in listOf("req-000001", listOf("nonsense"), listOf(1), List(65) { "req-$it" })) {
            assertThrows(MalformedException::class.java, {
                runBlocking { submit(jobService, job("name_id" to "req-000004", "awaits" to malformed)) }
            }, "$malformed")
        }
        assertEquals(201, submit(jobService, job("name_id" to "req-000004", "awaits" to emptyList<String>())))
        assertEquals(setOf("o/req-000001", "o/req-000004"), store.keysUnder("o/"), "a blocked job is not stored among those that may start")
        assertEquals(setOf("w/req-000002"), store.keysUnder("w/"))
        store.startOutage()
        assertEquals(503, submit(jobService, dependentJob(5, 1)), "unavailable: the dependencies cannot be read")
    }

    /** Dependencies of another team, done or just accepted by another controller, on a controller that has read none of them. */
    @Test
    fun `any accepted job may be a dependency in any state, and any number of unknown dependencies is rejected`() = runTest {
        val store = store()
        fun id(number: Int) = "req-%06d".format(number)
        submit(jobService(store), job("name_id" to id(1)))
        submit(jobService(store), job("name_id" to id(2), "crew" to "other"))
        val done = OutcomeRecordCodec.encode(OutcomeRecord(JobOutcome.DONE, 3))
        store.clientOf("test").commit(emptyList(), listOf(Write.Put("j/${id(3)}", done)))
        val names = listOf(id(1), id(2), id(3))
        assertEquals(201, submit(jobService(store), job("name_id" to id(4), "awaits" to names)))
        assertEquals("pending", queryState(jobService(store), id(4)))
        for (number in 5..67) submit(jobService(store), job("name_id" to id(number)))
        val all = (5..67).map(::id)
        assertEquals(201, submit(jobService(store), job("name_id" to id(80), "awaits" to all)), "maximum number of dependencies")
        assertEquals(422, submit(jobService(store), job("name_id" to id(81), "awaits" to all + id(99))), "one unknown dependency")
        val tooMany = List(4_000) { id(1_000 + it) }
        assertThrows(MalformedException::class.java, {
            runBlocking { submit(jobService(store), job("name_id" to id(82), "awaits" to tooMany)) }
        })
    }

    @Test
    fun `a job whose dependencies are all done is stored as released`() = runTest {
        val store = store()
        val jobService = jobService(store)
        val done = OutcomeRecordCodec.encode(OutcomeRecord(JobOutcome.DONE, 3))
        store.clientOf("test").commit(emptyList(), listOf(Write.Put("j/req-000007", done)))
        assertEquals(201, submit(jobService, job("awaits" to listOf("req-000007"))))
        assertEquals(setOf("o/req-000001"), store.keysUnder("o/"))
    }
}
