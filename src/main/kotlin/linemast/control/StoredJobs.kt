package linemast.control

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import linemast.domain.JobOutcome
import linemast.domain.MachineType
import linemast.jobs.JobKeys
import linemast.jobs.JobRecordCodec
import linemast.leadership.CancellationFreshness
import linemast.scheduling.Cluster
import linemast.serialization.MalformedException
import linemast.store.Entry
import linemast.store.EntryPage
import linemast.store.KeyChange
import linemast.store.KeyValueStore
import linemast.store.StoreException
import linemast.store.WatchResult
import linemast.store.listAll
import linemast.time.Clock
import linemast.time.SECOND_MICROS
import org.slf4j.LoggerFactory

/**
 * Reads what the store holds of jobs and machines when a term begins, and watches the jobs from there on.
 *
 * Each answered watch tells up to when every cancellation is known, see [CancellationFreshness].
 */
internal class StoredJobs(
    private val store: KeyValueStore,
    private val clock: Clock,
    private val cluster: Cluster,
    private val jobStore: () -> JobStore,
    private val machineRegistryStore: MachineRegistryStore,
    private val dependencyCoordinator: () -> DependencyCoordinator,
    private val cancellationFreshness: CancellationFreshness,
    private val types: () -> List<MachineType>?,
    /** Runs an action on the coroutine that owns the cluster state. */
    private val onLeaderLoop: suspend (() -> Unit) -> Unit,
) {
    private val log = LoggerFactory.getLogger(StoredJobs::class.java)
    private var openRevision = 0L
    private var waitingRevision = 0L

    /** Reads all; returns once that has succeeded. */
    suspend fun load() {
        while (true) {
            val known = types()
            if (known == null) {
                delay(RETRY_MILLIS)
                continue
            }
            cluster.types = known.associateBy { it.name }
            try {
                return read()
            } catch (e: StoreException) {
                log.debug("reading the store: {}", e.message)
                delay(RETRY_MILLIS)
            } catch (e: MalformedException) {
                log.error("the store holds a malformed record: {}", e.message)
                delay(MALFORMED_MILLIS)
            }
        }
    }

    private suspend fun read() {
        val sentMicros = clock.nowMicros()
        val open = store.listAll(JobKeys.OPEN_PREFIX)
        val waiting = store.listAll(JobKeys.WAITING_PREFIX)
        val done = store.listAll(JobKeys.DONE_PREFIX)
        val machines = machineRegistryStore.load()
        val records = open.entries.map { JobRecordCodec.decodeJob(it.value) to it.revision }
        cluster.load(records, machines, clock.nowMicros())
        takeDoneParts(done.entries)
        dependencyCoordinator().load(waiting.entries)
        openRevision = open.revision
        waitingRevision = waiting.revision
        cancellationFreshness.refreshedAt(sentMicros)
        log.info("read {} open jobs and {} machines from the store", records.size, machines.size)
    }

    /** Parts of jobs that are over were left by a leader that ended before it had dropped them. */
    private fun takeDoneParts(entries: List<Entry>) {
        val left = ArrayList<String>()
        for (entry in entries) {
            val (id, part) = entry.key.removePrefix(JobKeys.DONE_PREFIX).split('/')
            val job = cluster.jobs[id]
            if (job == null) left += entry.key else jobStore().takeDone(job, entry, part.toInt())
        }
        jobStore().dropParts(left)
    }

    /** Starts watching what [load] has read. */
    fun watch(scope: CoroutineScope) {
        scope.launch {
            watchPrefix(
                JobKeys.OPEN_PREFIX,
                openRevision,
                OPEN_WATCH_MICROS,
                ::openChanged,
                ::openListed,
                cancellationFreshness::refreshedAt,
            )
        }
        scope.launch { watchPrefix(JobKeys.WAITING_PREFIX, waitingRevision, WAITING_WATCH_MICROS, ::waitingChanged, ::waitingListed) }
    }

    private suspend fun watchPrefix(
        prefix: String,
        firstRevision: Long,
        waitMicros: Long,
        onChanges: (List<KeyChange>) -> Unit,
        onListed: (EntryPage) -> Unit,
        /** Told when the call was sent whose answer has been taken. */
        onRead: (Long) -> Unit = {},
    ) {
        var revision = firstRevision
        while (true) {
            try {
                val sentMicros = clock.nowMicros()
                when (val result = store.watch(prefix, revision, waitMicros)) {
                    is WatchResult.Changes -> {
                        onLeaderLoop {
                            onChanges(result.changes)
                            onRead(sentMicros)
                        }
                        revision = maxOf(revision, result.revision)
                    }
                    WatchResult.TooOld -> {
                        val page = store.listAll(prefix)
                        onLeaderLoop {
                            onListed(page)
                            onRead(sentMicros)
                        }
                        revision = page.revision
                    }
                }
            } catch (e: StoreException) {
                log.debug("watching {}: {}", prefix, e.message)
                delay(RETRY_MILLIS)
            }
        }
    }

    private fun openChanged(changes: List<KeyChange>) = changes.forEach(::openChanged)

    private fun openListed(page: EntryPage) = page.entries.forEach { cluster.putJob(JobRecordCodec.decodeJob(it.value), it.revision) }

    private fun waitingChanged(changes: List<KeyChange>) = changes.forEach(dependencyCoordinator()::changed)

    private fun waitingListed(page: EntryPage) = dependencyCoordinator().reload(page.entries)

    /** Takes a change of an open job's record. */
    fun openChanged(change: KeyChange) {
        val value = change.value ?: return cluster.dropJob(change.key.removePrefix(JobKeys.OPEN_PREFIX))
        try {
            val record = JobRecordCodec.decodeJob(value)
            cluster.putJob(record, change.revision)
            if (record.cancelled) dependencyCoordinator().over(record.spec.id, JobOutcome.CANCELLED)
        } catch (e: MalformedException) {
            log.error("{}: malformed record: {}", change.key, e.message)
        }
    }

    private companion object {
        const val RETRY_MILLIS = 250L
        const val MALFORMED_MILLIS = 1_000L

        /** Short, since what is known is only as recent as when the last answered question was sent. */
        const val OPEN_WATCH_MICROS = SECOND_MICROS
        const val WAITING_WATCH_MICROS = 10 * SECOND_MICROS
    }
}
