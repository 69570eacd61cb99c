package linemast.control

import kotlinx.coroutines.delay
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.runTest
import linemast.domain.JobOutcome
import linemast.domain.JobPriority
import linemast.domain.JobRecord
import linemast.jobs.JobKeys
import linemast.jobs.JobRecordCodec
import linemast.leadership.CancellationFreshness
import linemast.scheduling.ClusterFixture
import linemast.scheduling.FakeWorker
import linemast.serialization.Fields
import linemast.settings.StoreLimits
import linemast.simulation.SimStore
import linemast.store.CommitResult
import linemast.store.KeyChange
import linemast.store.KeyValueStore
import linemast.store.Precondition
import linemast.store.RequestPriority
import linemast.store.Write
import linemast.testSpec
import linemast.time.Clock
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Test
import kotlin.random.Random

/**
 * Guards against wrong effects of the release of blocked jobs on the store and on the leader's other jobs.
 *
 * Requirements and planned capacity could outlast the blocked job that they stem from, and a release that is in progress
 * while a user cancels the job could bring the job back.
 */
class DependencyCoordinatorTest {
    /** Requirements of a blocked job, and capacity planned ahead for it, must not outlast the job's release. */
    @Test
    fun `after the release of the last blocked job no job has inherited requirements`() = runTest {
        val clock = Clock { testScheduler.currentTime * 1_000 + 1 }
        val store = SimStore(backgroundScope, clock, Random(1))
        val client = store.clientOf("mast-0")
        val blocked =
            JobRecord(
                testSpec("req-2", "awaits" to listOf("req-1"), "urgency" to "high", "due_s" to 90.0),
                0,
                activated = false,
                cancelled = false,
            )
        writeBlocked(client, blocked)
        val fixture = ClusterFixture()
        val dependency = fixture.submit("req-1", 2)
        FakeWorker(fixture, "host-000001").heartbeatFor(3)
        val coordinator = coordinator(client, fixture)
        coordinator.load(client.list(JobKeys.BLOCKED_PREFIX, null).entries)
        coordinator.startDueActions()
        assertEquals(listOf("req-2"), fixture.cluster.blockedStages.map { it.job.id })
        assertEquals(JobPriority.HIGH, dependency.priority)
        fixture.cluster.finish(dependency)
        val unrelated = fixture.submit("req-3", 1)
        coordinator.recordOutcome("req-1", JobOutcome.DONE)
        testScheduler.advanceTimeBy(1_000)
        assertEquals(setOf("o/req-2"), store.keysUnder("o/") + store.keysUnder("w/"), "one transaction moves the record")
        assertEquals(setOf("req-2", "req-3"), fixture.cluster.jobs.keys)
        coordinator.apply(KeyChange(JobKeys.blocked("req-2"), null, 9))
        fixture.advance(2_000_000)
        coordinator.startDueActions()
        assertEquals(emptyList<String>(), fixture.cluster.blockedStages.map { it.job.id })
        assertNull(unrelated.requiredEndWallMicros)
        assertEquals(
            listOf(true, true),
            Fields(store.valueOf("o/req-2")?.map.orEmpty()).let {
                listOf(it.flag("opened"), it.has("from_us"))
            },
        )
    }

    /** The user cancels the job through another controller while the leader's release is in progress. */
    @Test
    fun `a job that is cancelled just before its release is applied stays cancelled`() = runTest {
        val store = SimStore(backgroundScope, Clock { testScheduler.currentTime * 1_000 + 1 }, Random(2))
        val client = store.clientOf("mast-0")
        val blocked = JobRecord(testSpec("req-2", "awaits" to listOf("req-1")), 0, activated = false, cancelled = false)
        writeBlocked(client, blocked)
        val storeCancellingBeforeCommit = object : KeyValueStore by client {
            override suspend fun commit(preconditions: List<Precondition>, writes: List<Write>, priority: RequestPriority): CommitResult {
                client.commit(emptyList(), listOf(Write.Delete(JobKeys.blocked("req-2"))))
                return client.commit(preconditions, writes, priority)
            }
        }
        val fixture = ClusterFixture()
        val coordinator = coordinator(storeCancellingBeforeCommit, fixture)
        coordinator.load(client.list(JobKeys.BLOCKED_PREFIX, null).entries)
        coordinator.recordOutcome("req-1", JobOutcome.DONE)
        testScheduler.advanceTimeBy(5_000)
        assertEquals(emptySet<String>(), store.keysUnder("o/") + store.keysUnder("w/"), "a release does not bring a cancelled job back")
        assertEquals(emptySet<String>(), fixture.cluster.jobs.keys)
    }

    /** The response to the release comes so late that the released job has been cancelled, and its record deleted, by then. */
    @Test
    fun `a late response to a release does not bring a cancelled job back`() = runTest {
        val store = SimStore(backgroundScope, Clock { testScheduler.currentTime * 1_000 + 1 }, Random(3))
        val client = store.clientOf("mast-0")
        val blocked = JobRecord(testSpec("req-2", "awaits" to listOf("req-1")), 0, activated = false, cancelled = false)
        writeBlocked(client, blocked)
        val open = JobKeys.open("req-2")
        val storeRespondingLate = object : KeyValueStore by client {
            override suspend fun commit(preconditions: List<Precondition>, writes: List<Write>, priority: RequestPriority): CommitResult {
                val released = client.commit(preconditions, writes, priority)
                client.commit(emptyList(), listOf(Write.Put(open, JobRecordCodec.encode(blocked.released(1).with(cancelled = true)))))
                delay(500)
                client.commit(emptyList(), listOf(Write.Delete(open)))
                delay(500)
                return released
            }
        }
        val fixture = ClusterFixture()
        val term = term(storeRespondingLate, fixture)
        val coordinator = DependencyCoordinator(term, fixture.cluster)
        val entries = client.list(JobKeys.BLOCKED_PREFIX, null)
        coordinator.load(entries.entries)
        val watcher =
            JobWatcher(term, OpenJobUpdates(fixture.cluster, coordinator), coordinator, CancellationFreshness(fixture.workers))
        watcher.start(JobRevisions(open = entries.revision, blocked = entries.revision))
        coordinator.recordOutcome("req-1", JobOutcome.DONE)
        testScheduler.advanceTimeBy(5_000)
        assertEquals(emptySet<String>(), store.keysUnder("o/") + store.keysUnder("w/"))
        assertEquals(emptySet<String>(), fixture.cluster.jobs.keys, "the leader would start the tasks of the cancelled job")
    }

    /** Writes the record of a leader and that of a blocked job. */
    private suspend fun writeBlocked(client: KeyValueStore, blocked: JobRecord) {
        client.commit(emptyList(), listOf(Write.Put("leader", emptyMap())))
        client.commit(emptyList(), listOf(Write.Put(JobKeys.blocked(blocked.spec.id), JobRecordCodec.encode(blocked))))
    }

    private fun TestScope.coordinator(store: KeyValueStore, fixture: ClusterFixture) =
        DependencyCoordinator(term(store, fixture), fixture.cluster)

    private fun TestScope.term(store: KeyValueStore, fixture: ClusterFixture) = testTerm(
        store,
        backgroundScope,
        Clock { fixture.nowMicros },
        StoreLimits(rps = 100.0, writeRps = 30.0, valueBytes = 8_192, txnOps = 5),
    )
}
