package linemast.jobs

import kotlinx.coroutines.test.runTest
import linemast.store.CommitResult
import linemast.store.Entry
import linemast.store.KeyValueStore
import linemast.store.Precondition
import linemast.store.RequestPriority
import linemast.store.Write
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

/** Guards against cancellations that do not reach dependent jobs, or that a concurrent release or status query hides. */
class JobCancellationTest {
    /** Without a leader each controller finds the cancelled dependency itself, and commits the cancellation before it responds. */
    @Test
    fun `a cancellation reaches all transitive dependents on every controller without a leader`() = runTest {
        val store = store()
        fun id(number: Int) = "req-%06d".format(number)
        submit(jobService(store), job())
        // A chain of jobs, then 20 jobs that depend on its end, then a job that depends on all 20.
        for (number in 2..9) submit(jobService(store), job("name_id" to id(number), "awaits" to listOf(id(number - 1))))
        for (number in 10..29) submit(jobService(store), job("name_id" to id(number), "awaits" to listOf(id(9))))
        submit(jobService(store), job("name_id" to id(30), "awaits" to (10..29).map(::id)))
        assertEquals("pending", queryState(jobService(store), id(30)))
        assertEquals(200, cancel(jobService(store), id(1)))
        assertEquals("withdrawn", queryState(jobService(store), id(30)))
        assertEquals("withdrawn", store.valueOf("j/${id(30)}")?.text("verdict"))
        for (number in 2..29) assertEquals("withdrawn", queryState(jobService(store), id(number)))
        assertEquals(emptySet<String>(), store.keysUnder("w/"))
        val newController = jobService(store)
        assertEquals(
            201,
            submit(newController, job("name_id" to id(31), "awaits" to listOf(id(30)))),
            "a job that depends on a cancelled job is accepted",
        )
        assertEquals("withdrawn", queryState(newController, id(31)))
        assertEquals(setOf("o/${id(1)}"), store.keysUnder("o/"))
    }

    /**
     * A cancellation may be confirmed while the dependency check reads from the store. The response after the check must not
     * contain the state from before the cancellation.
     */
    @Test
    fun `a job cancelled during the check of its dependencies is reported as cancelled`() = runTest {
        val store = store()
        submit(jobService(store), job())
        submit(jobService(store), job("name_id" to "req-000002", "awaits" to listOf("req-000001")))
        val otherController = jobService(store)
        val inner = store.clientOf("mast-0")
        val cancellingStore = object : KeyValueStore by inner {
            override suspend fun get(key: String, priority: RequestPriority): Entry? =
                inner.get(key, priority).also { if (key == "j/req-000001") assertEquals(200, cancel(otherController, "req-000002")) }
        }
        assertEquals("withdrawn", queryState(jobService(cancellingStore), "req-000002"))
    }

    /** The leader releases a blocked job between the reads and the commit of its cancellation by another controller. */
    @Test
    fun `a job released during its cancellation is cancelled under its new key`() = runTest {
        val store = store()
        submit(jobService(store), job())
        submit(jobService(store), job("name_id" to "req-000002", "awaits" to listOf("req-000001")))
        val inner = store.clientOf("mast-0")
        val blocked = JobRecordCodec.decode(requireNotNull(inner.get(JobKeys.blocked("req-000002"))).value)
        var isReleased = false
        val releasingStore = object : KeyValueStore by inner {
            override suspend fun commit(preconditions: List<Precondition>, writes: List<Write>, priority: RequestPriority): CommitResult {
                if (!isReleased) {
                    isReleased = true
                    val released = Write.Put(JobKeys.open("req-000002"), JobRecordCodec.encode(blocked.released(5)))
                    inner.commit(emptyList(), listOf(released, Write.Delete(JobKeys.blocked("req-000002"))))
                }
                return inner.commit(preconditions, writes, priority)
            }
        }
        assertEquals(200, cancel(jobService(releasingStore), "req-000002"))
        assertEquals("withdrawn", store.valueOf(JobKeys.outcome("req-000002"))?.text("verdict"))
        assertEquals(true, store.valueOf(JobKeys.open("req-000002"))?.flag("withdrawn"), "the open job has the cancelled flag")
        assertEquals(emptySet<String>(), store.keysUnder("w/"))
    }
}
