package linemast.control

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import linemast.domain.Heartbeat
import linemast.domain.JobProgress
import linemast.leadership.LeaderLease

/**
 * One term of leadership, from reading the store to losing the leadership.
 *
 * The cluster state is touched in the turns of the event loop alone, which [run] processes; everything else queues events.
 */
class Leader(environment: LeaderEnvironment, lease: LeaderLease, private val scope: CoroutineScope) {
    /** A connection has one heartbeat under way, so that there is room for all of them: none is refused in a burst. */
    private val events = LeaderEventQueue(environment.configuration.settings.processLimits.fdLimit)
    private val term = LeaderTerm(
        environment.store,
        lease,
        scope,
        events,
        environment.clock,
        environment.wallMicros,
        environment.configuration.settings.storeLimits,
    )
    private val components = LeaderComponents(environment, term)
    private val responder = HeartbeatResponder(
        events,
        lease,
        environment.clock,
        components.cluster,
        components.cancellationFreshness,
        HeartbeatPermissions(
            lease,
            components.cancellationFreshness,
            environment.peers,
            isReplicated = environment.configuration.settings.members.isNotEmpty(),
        ),
    )
    private val previousLeaders = PreviousLeaders(
        components.cluster,
        events,
        environment.clock,
        lease.fencingToken,
        environment.configuration.settings.members.map { it.nodeName },
    )

    /** The response to [heartbeat], which renews the worker's lease; null if there must be none. */
    suspend fun answer(heartbeat: Heartbeat): HeartbeatResponse? = responder.respond(heartbeat)

    /** The controller [node] has seen [fencingToken]. */
    fun peerObservedToken(node: String, fencingToken: Long) = previousLeaders.peerObservedToken(node, fencingToken)

    /** Task counts of a job; null if the leader has no such job. */
    fun progressOf(id: String): JobProgress? = components.jobStatistics.progressOf(id)

    /** Task counts of all jobs. */
    fun progress(): Map<String, JobProgress> = components.jobStatistics.progress()

    /** Leads until it is cancelled. */
    suspend fun run() {
        val revisions = components.stateLoader.load()
        components.inheritedIntents?.takeOver()
        previousLeaders.stateLoaded()
        components.jobWatcher.start(revisions)
        scope.launch { tickRegularly() }
        components.admission?.let { scope.launch { it.run() } }
        components.reconciliationMonitor?.let { scope.launch { it.run(scope) } }
        scope.launch { components.machineListWatcher.run() }
        events.process()
    }

    private suspend fun tickRegularly() {
        while (true) {
            delay(TICK_MILLIS)
            events.run(components.ticker::tick)
        }
    }

    private companion object {
        const val TICK_MILLIS = 250L
    }
}
