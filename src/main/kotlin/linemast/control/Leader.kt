package linemast.control

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import linemast.admission.AdmissionLeader
import linemast.admission.Flow
import linemast.admission.FlowClassifier
import linemast.admission.FlowRoundRobin
import linemast.autoscaling.Autoscaler
import linemast.cloud.Cloud
import linemast.cloud.DirectCloudActionExecutor
import linemast.cloud.Fleet
import linemast.domain.Heartbeat
import linemast.domain.Job
import linemast.domain.JobOutcome
import linemast.domain.JobProgress
import linemast.domain.Machine
import linemast.domain.MachineType
import linemast.duties.WriteAheadCloudActionExecutor
import linemast.leadership.CancellationFreshness
import linemast.leadership.LeaderLease
import linemast.peers.PeerView
import linemast.planning.Planner
import linemast.planning.TaskTimes
import linemast.recovery.Recovery
import linemast.recovery.RecoveryStore
import linemast.scheduling.Cluster
import linemast.scheduling.ClusterEffects
import linemast.scheduling.CommandPermission
import linemast.settings.Features
import linemast.settings.Policy
import linemast.settings.Settings
import linemast.store.KeyValueStore
import linemast.time.Clock
import org.slf4j.LoggerFactory

/**
 * All that one time of leading does, from reading the store to losing the leadership.
 *
 * The cluster state is touched by the [run] coroutine alone; everything else sends it events.
 */
class Leader(
    private val settings: Settings,
    policy: Policy,
    store: KeyValueStore,
    cloud: Cloud,
    private val clock: Clock,
    private val leaderLease: LeaderLease,
    degradedModeMicros: Long,
    private val scope: CoroutineScope,
    private val wallMicros: () -> Long,
    private val peers: PeerView,
    types: () -> List<MachineType>?,
    features: Features = Features(),
) : ClusterEffects {
    private val log = LoggerFactory.getLogger(Leader::class.java)

    /** A connection has one report under way, so that all of them have room: none is turned away for a burst. */
    private val events = Channel<() -> Unit>(settings.processLimits.fdLimit)
    private val limits = settings.stateLimits
    private val times = TaskTimes()
    private val planner = Planner(settings, policy, times)
    private val cancellationFreshness = CancellationFreshness(settings.workers)
    private val flows = FlowClassifier(settings.objectives)
    private val recovery = features.recovery?.let(::Recovery)
    private val startTurns = features.admission?.let { FlowRoundRobin(flows) }
    private val cluster = Cluster(
        settings,
        leaderLease.fencingToken,
        degradedModeMicros,
        this,
        times,
        planner,
        wallMicros,
        clock,
        cancellationFreshness,
        startTurns,
        recovery,
    )
    private val recoveryStore = recovery?.let {
        RecoveryStore(store, leaderLease, clock, wallMicros, it, cluster::isReconciled, events::send)
    }
    private val fleet = Fleet(settings, policy, leaderLease.fencingToken)
    private val autoscaler = Autoscaler(cluster, fleet, planner, policy)
    private val jobStore: JobStore = JobStore(
        store,
        scope,
        leaderLease,
        { cluster },
        limits.maxTxnOps,
        events::send,
        onChange = { storedJobs.openChanged(it) },
        onDone = { dependencyCoordinator.over(it.id, JobOutcome.DONE) },
    )
    private val dependencyCoordinator: DependencyCoordinator = DependencyCoordinator(
        store,
        scope,
        leaderLease,
        { cluster },
        limits.maxTxnOps,
        wallMicros,
        clock::nowMicros,
        events::send,
    )
    private val machineRegistryStore =
        MachineRegistryStore(store, scope, leaderLease, { cluster.types }, limits.maxValueBytes, events::send)
    private val baselineFleetStore = BaselineFleetStore(
        store,
        cloud,
        clock,
        leaderLease,
        limits.maxValueBytes,
        limits.maxTxnOps,
        settings.cloudLimits.listLagMicros,
    )
    private val duties = features.duties?.let { WriteAheadCloudActionExecutor(it, store, cloud, clock, wallMicros, leaderLease, limits) }
    private val cloudOperations =
        CloudOperations(
            cloud,
            duties ?: DirectCloudActionExecutor(cloud),
            clock,
            scope,
            leaderLease,
            cluster,
            fleet,
            autoscaler,
            machineRegistryStore,
            baselineFleetStore,
            settings.cloudLimits.rps,
            events::send,
        )
    private val inheritedActions = duties?.let { InheritedIntents(it, cluster, fleet, cloudOperations, scope, events::send) }
    private val admission = features.admission?.let {
        AdmissionLeader(store, clock, leaderLease, it, it.capacity(limits), limits.maxValueBytes, ::openJobs)
    }
    private val utilizationLog = UtilizationLog(cluster, fleet)
    private val planStore = PlanStore(store, scope, leaderLease, planner, limits.maxValueBytes, wallMicros)
    private val storedJobs: StoredJobs =
        StoredJobs(store, clock, cluster, {
            jobStore
        }, machineRegistryStore, { dependencyCoordinator }, cancellationFreshness, types, events::send)
    private var loaded = false
    private val peersKnowing = HashSet<String>()

    /** The answer to [heartbeat], which renews the worker's lease; null if there must be none. */
    suspend fun answer(heartbeat: Heartbeat): HeartbeatResponse? {
        if (heartbeat.fencingToken > leaderLease.fencingToken) return null
        val reply = CompletableDeferred<HeartbeatResponse?>()
        // Reports wait until the store has been read: nothing is renewed by a leader that knows no cancellation.
        val taken = events.trySend {
            val now = clock.nowMicros()
            val commands = if (!mayRenew(now) || isCutOff(now)) null else cluster.heartbeat(heartbeat, now, allowedCommands(now))
            reply.complete(commands?.let { HeartbeatResponse(leaderLease.fencingToken, it, cancellationFreshness, leaderLease) })
        }
        return if (taken.isSuccess) reply.await() else null
    }

    private fun mayRenew(nowMicros: Long) =
        leaderLease.mayAnswerHeartbeats(nowMicros) && nowMicros < cancellationFreshness.renewalsAllowedUntilMicros

    private fun allowedCommands(nowMicros: Long): CommandPermission = when {
        !leaderLease.mayIssueCommands(nowMicros) -> CommandPermission.NO_COMMANDS
        nowMicros < cancellationFreshness.startsAllowedUntilMicros -> CommandPermission.ALL
        else -> CommandPermission.NO_STARTS
    }

    /**
     * Neither the store nor a peer answers: most likely this controller is cut off, and another one leads. In an
     * outage of the store alone the peers are still heard. Workers are better sent away than held in grace.
     */
    private fun isCutOff(nowMicros: Long): Boolean =
        !leaderLease.mayIssueCommands(nowMicros) && settings.members.isNotEmpty() && !peers.hasReachablePeer

    /**
     * Gives the leadership away when the workers do not get through to this controller but to others: as long as it
     * renewed its lead, they would be sent back here until their leases are over.
     */
    private fun leaveIfWorkersAreLost(nowMicros: Long) {
        if (!cluster.hasLostWorkers(nowMicros) || !peers.peerReceivesHeartbeats) return
        log.info("workers turn to other controllers and do not get through here: giving the leadership away")
        leaderLease.stepDown()
    }

    /** Attempt numbers belong to a fencing token: with the next one there are as many again. */
    private fun leaveIfAttemptsAreUsedUp() {
        if (!cluster.attemptNumbers.isNearlyExhausted || leaderLease.hasSteppedDown) return
        log.info("attempt numbers are nearly used up: giving the leadership away")
        leaderLease.stepDown()
    }

    /** Another controller knows of [fencingToken]. Once all others know this term's, no earlier one can go on. */
    fun peerKnows(node: String, fencingToken: Long) {
        if (fencingToken < leaderLease.fencingToken || !peersKnowing.add(node)) return
        endPreviousLeadersIfKnown()
    }

    private fun endPreviousLeadersIfKnown() {
        if (!loaded || !peersKnowing.containsAll(settings.members.map { it.nodeName })) return
        events.trySend { cluster.endPreviousLeaders(clock.nowMicros()) }
    }

    /** Counts of a job's tasks; null if the job is not known here. */
    fun progressOf(id: String): JobProgress? = cluster.jobs[id]?.let { JobProgress(it.doneCount, it.runningCount) }

    /** Counts of the tasks of all jobs. */
    fun progress(): Map<String, JobProgress> = cluster.jobs.values.associate { it.id to JobProgress(it.doneCount, it.runningCount) }

    /** Leads until it is cancelled. */
    suspend fun run() {
        storedJobs.load()
        inheritedActions?.takeOver()
        loaded = true
        endPreviousLeadersIfKnown()
        storedJobs.watch(scope)
        scope.launch { tickRegularly() }
        admission?.let { scope.launch { it.run() } }
        recoveryStore?.let { scope.launch { it.run(scope) } }
        scope.launch { cloudOperations.watchMachines() }
        for (event in events) event()
    }

    private suspend fun openJobs(): Map<Flow, Int> {
        val counts = CompletableDeferred<Map<Flow, Int>>()
        events.send { counts.complete(cluster.jobs.values.filter { !it.finished }.groupingBy { flows.flowOf(it.spec) }.eachCount()) }
        return counts.await()
    }

    private suspend fun tickRegularly() {
        while (true) {
            delay(TICK_MILLIS)
            events.send(::tick)
        }
    }

    private fun tick() {
        val now = clock.nowMicros()
        if (!leaderLease.mayIssueCommands(now)) return
        leaveIfWorkersAreLost(now)
        leaveIfAttemptsAreUsedUp()
        dependencyCoordinator.step()
        cluster.tick(now)
        utilizationLog.step(now)
        cloudOperations.run(autoscaler.step(wallMicros(), now))
        if (autoscaler.hasNewPlan) {
            autoscaler.hasNewPlan = false
            planStore.write(cluster.jobs.values)
        }
    }

    override fun storeOpened(job: Job) = jobStore.storeOpened(job)

    override fun storeDone(job: Job) = jobStore.storeDone(job)

    override fun dropCancelled(job: Job) = jobStore.dropCancelled(job)

    override fun storeMachines(machines: List<Machine>) = machineRegistryStore.add(machines) {
        machines.forEach { it.isRegistered = true }
        cluster.dirty = true
    }

    override fun dropMachines(names: List<String>) = machineRegistryStore.remove(names)

    private companion object {
        const val TICK_MILLIS = 250L
    }
}
