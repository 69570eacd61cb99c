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
    private val eventQueue = LeaderEventQueue(environment.configuration.settings.processLimits.fdLimit)
    private val term = LeaderTerm(
        environment.store,
        lease,
        scope,
        eventQueue,
        environment.clock,
        environment.wallMicros,
        environment.configuration.settings.storeLimits,
    )
    private val components = LeaderComponents(environment, term)
    private val responder = HeartbeatResponder(
        eventQueue,
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
    private val previousLeaderTracker = PreviousLeaderTracker(
        components.cluster,
        eventQueue,
        environment.clock,
        lease.fencingToken,
        environment.configuration.settings.members.map { it.nodeName },
    )

    /** The response to [heartbeat], which renews the worker's lease; null if there must be none. */
    suspend fun handleHeartbeat(heartbeat: Heartbeat): HeartbeatResponse? = responder.respond(heartbeat)

    /** The controller [node] has seen [fencingToken]. */
    fun recordPeerToken(node: String, fencingToken: Long) = previousLeaderTracker.recordPeerToken(node, fencingToken)

    /** Task counts of a job; null if the leader has no such job. */
    fun progressOf(id: String): JobProgress? = components.jobStatistics.progressOf(id)

    /** Task counts of all jobs. */
    fun progress(): Map<String, JobProgress> = components.jobStatistics.progress()

    /** Leads until it is cancelled. */
    suspend fun run() {
        val revisions = components.stateLoader.load()
        components.inheritedIntents?.adopt()
        previousLeaderTracker.onStateLoaded()
        components.jobWatcher.start(revisions)
        scope.launch { tickRegularly() }
        components.admissionLeader?.let { scope.launch { it.run() } }
        components.reconciliationMonitor?.let { scope.launch { it.run(scope) } }
        scope.launch { components.machineListWatcher.run() }
        eventQueue.process()
    }

    private suspend fun tickRegularly() {
        while (true) {
            delay(TICK_MILLIS)
            eventQueue.enqueue(components.ticker::tick)
        }
    }

    private companion object {
        const val TICK_MILLIS = 250L
    }
}
