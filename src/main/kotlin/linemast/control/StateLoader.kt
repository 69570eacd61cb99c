package linemast.control

import linemast.domain.MachineType
import linemast.domain.StoredJobRecord
import linemast.jobs.JobKeys
import linemast.jobs.JobRecordCodec
import linemast.leadership.CancellationFreshness
import linemast.scheduling.Cluster
import linemast.store.Entry
import linemast.store.RetryPolicy
import linemast.store.listAll
import org.slf4j.LoggerFactory

/** The store revisions as of which the open and the blocked jobs were read. */
internal class JobRevisions(val open: Long, val blocked: Long)

/** Loads jobs and machines from the store when a term begins. */
internal class StateLoader(
    private val term: LeaderTerm,
    private val machineTypes: () -> List<MachineType>?,
    private val cluster: Cluster,
    private val completedTaskStore: CompletedTaskStore,
    private val machineRegistryStore: MachineRegistryStore,
    private val dependencyCoordinator: DependencyCoordinator,
    private val cancellationFreshness: CancellationFreshness,
) {
    private val log = LoggerFactory.getLogger(StateLoader::class.java)

    /** Loads the state, with retries until that succeeds; returns the revisions after which changes have to be watched. */
    suspend fun load(): JobRevisions = RETRY.untilResult(log, "reading the store") {
        machineTypes()?.let { knownTypes ->
            cluster.machineTypes = knownTypes.associateBy { it.name }
            read()
        }
    }

    private suspend fun read(): JobRevisions {
        val sentMicros = term.clock.nowMicros()
        // A job that is released between these two reads is in neither; the watch for changes after the first read finds it.
        val open = term.store.listAll(JobKeys.OPEN_PREFIX)
        val blocked = term.store.listAll(JobKeys.BLOCKED_PREFIX)
        val completed = term.store.listAll(JobKeys.COMPLETED_TASKS_PREFIX)
        val machines = machineRegistryStore.load()
        val records = open.entries.map { StoredJobRecord(JobRecordCodec.decode(it.value), it.revision) }
        cluster.load(records, machines, term.clock.nowMicros())
        applyCompletedTasks(completed.entries)
        dependencyCoordinator.load(blocked.entries)
        cancellationFreshness.recordRefresh(sentMicros)
        log.info("read {} open jobs and {} machines from the store", records.size, machines.size)
        return JobRevisions(open.revision, blocked.revision)
    }

    /**
     * Applies the stored parts of the sets of completed tasks. Deletes parts without an open job: a previous leader failed before it
     * deleted them.
     */
    private fun applyCompletedTasks(entries: List<Entry>) {
        val orphanedKeys = ArrayList<String>()
        for (entry in entries) {
            val (id, part) = entry.key.removePrefix(JobKeys.COMPLETED_TASKS_PREFIX).split('/')
            val job = cluster.jobs[id]
            if (job == null) orphanedKeys += entry.key else completedTaskStore.apply(job, entry, part.toInt())
        }
        completedTaskStore.delete(orphanedKeys)
    }

    private companion object {
        val RETRY = RetryPolicy(delayMillis = 250, malformedDelayMillis = 1_000)
    }
}
