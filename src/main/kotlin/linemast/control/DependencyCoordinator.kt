package linemast.control

import kotlinx.coroutines.launch
import linemast.control.dependencies.DependencyGraph
import linemast.domain.JobOutcome
import linemast.jobs.JobKeys
import linemast.jobs.JobRecordCodec
import linemast.jobs.OutcomeRecordCodec
import linemast.scheduling.Cluster
import linemast.serialization.MalformedException
import linemast.store.Entry
import linemast.store.KeyChange
import linemast.store.storeResultOrNull
import org.slf4j.LoggerFactory

/**
 * Applies changes in the store to the [DependencyGraph], and starts the actions that the graph decides on.
 *
 * Called on the leader's event loop.
 */
internal class DependencyCoordinator(private val term: LeaderTerm, private val cluster: Cluster) : JobOutcomeListener {
    private val log = LoggerFactory.getLogger(DependencyCoordinator::class.java)
    private val graph = DependencyGraph()
    private val blockedJobStore = BlockedJobStore(term, cluster, graph)
    private val forecast = DependencyForecast(term, cluster, graph)

    /** Adds the blocked jobs in [entries], which were read from the store. */
    fun load(entries: List<Entry>) = entries.forEach { graph.put(JobRecordCodec.decode(it.value), it.revision) }

    /** Replaces the blocked jobs by those in [entries], since changes were missed. */
    fun reload(entries: List<Entry>) {
        graph.retain(entries.mapTo(HashSet()) { it.key.removePrefix(JobKeys.BLOCKED_PREFIX) })
        load(entries)
    }

    /** Applies a change of one record; a malformed record is logged and ignored. */
    fun apply(change: KeyChange) {
        val value = change.value ?: return graph.remove(change.key.removePrefix(JobKeys.BLOCKED_PREFIX))
        try {
            graph.put(JobRecordCodec.decode(value), change.revision)
        } catch (e: MalformedException) {
            log.error("{}: malformed record: {}; the change is ignored", change.key, e.message)
        }
    }

    override fun recordOutcome(id: String, outcome: JobOutcome) {
        graph.recordOutcome(id, outcome)
        startDueActions()
    }

    /** Starts the commits and reads that are due, and updates the forecast. */
    fun startDueActions() {
        if (graph.isEmpty && !forecast.hasInheritedRequirements) return
        val actions = graph.nextActions(::isActive, term.clock.nowMicros())
        actions.toRelease.forEach(blockedJobStore::release)
        blockedJobStore.cancel(actions.toCancel)
        actions.outcomesToRead.forEach(::readOutcome)
        forecast.updateIfDue()
    }

    private fun isActive(id: String): Boolean = cluster.jobs[id]?.let { !it.finished && !it.cancelled } ?: false

    private fun readOutcome(id: String) {
        term.scope.launch {
            val entry = storeResultOrNull(log) { term.store.get(JobKeys.outcome(id)) } ?: return@launch
            val outcome = storeResultOrNull(log) { OutcomeRecordCodec.decode(entry.value).outcome }
                ?: return@launch
            term.eventLoop.enqueue { recordOutcome(id, outcome) }
        }
    }
}
