package linemast.control

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.job
import kotlinx.coroutines.launch
import linemast.domain.DrainReason
import linemast.domain.Heartbeat
import linemast.domain.JobProgress
import linemast.leadership.LeaderLease
import linemast.scheduling.TaskLoad

/**
 * One term of leadership: begins with reading the store and ends with the loss of the leadership.
 *
 * Only the event loop, which [run] processes, reads and changes the cluster state; other coroutines enqueue actions.
 */
class Leader(environment: LeaderEnvironment, lease: LeaderLease, private val scope: CoroutineScope) {
    /** Has room for one heartbeat of each connection, the most that can be in progress at once: a burst of heartbeats fits. */
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
        scope.coroutineContext.job,
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

    /** Returns the response to [heartbeat], which renews the worker's lease, or null if the leader must not respond. */
    suspend fun handleHeartbeat(heartbeat: Heartbeat): HeartbeatResponse? = responder.respond(heartbeat)

    /** Records that the controller [node] has seen [fencingToken]. */
    fun recordPeerToken(node: String, fencingToken: Long) = previousLeaderTracker.recordPeerToken(node, fencingToken)

    /** See [ReportedCancellations.apply]. */
    fun applyCancellation(jobId: String, onAcknowledged: () -> Unit) = components.reportedCancellations.apply(jobId, onAcknowledged)

    /** Returns the task counts of job [id], or null if the leader has no such job. */
    fun progressOf(id: String): JobProgress? = components.jobStatistics.progressOf(id)

    /** Returns the task counts by job id, of jobs with running or completed tasks only. */
    fun progress(): Map<String, JobProgress> = components.jobStatistics.progress()

    /** Returns the machines that get no starts, by name, with the reason. */
    fun drainingMachines(): Map<String, DrainReason> = components.cluster.knownMachines.drainingMachines()

    /** Returns how many tasks this leader holds and may hold. */
    fun taskLoad(): TaskLoad = components.cluster.taskLoad()

    /** Loads the state, then leads until the coroutine is cancelled. */
    suspend fun run() {
        val revisions = components.stateLoader.load()
        components.inheritedIntents?.adopt()
        previousLeaderTracker.recordStateLoaded()
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
