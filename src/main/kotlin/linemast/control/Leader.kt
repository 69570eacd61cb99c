package linemast.control

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import linemast.admission.AdmissionLeader
import linemast.admission.Flow
import linemast.admission.FlowClassifier
import linemast.admission.StartTurns
import linemast.autoscaling.Provisioner
import linemast.cloud.Cloud
import linemast.cloud.DirectExecutor
import linemast.cloud.Fleet
import linemast.domain.Job
import linemast.domain.JobProgress
import linemast.domain.Machine
import linemast.domain.MachineType
import linemast.domain.Report
import linemast.domain.Verdict
import linemast.duties.DutyHolder
import linemast.leadership.Authority
import linemast.leadership.CancellationKnowledge
import linemast.peers.PeerView
import linemast.planning.Planner
import linemast.planning.TaskTimes
import linemast.recovery.Recovery
import linemast.recovery.RecoveryStore
import linemast.scheduling.AllowedCommands
import linemast.scheduling.Cluster
import linemast.scheduling.Effects
import linemast.settings.Features
import linemast.settings.Policy
import linemast.settings.Settings
import linemast.store.Store
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
    store: Store,
    cloud: Cloud,
    private val clock: Clock,
    private val authority: Authority,
    graceMicros: Long,
    private val scope: CoroutineScope,
    private val wallMicros: () -> Long,
    private val peers: PeerView,
    types: () -> List<MachineType>?,
    features: Features = Features(),
) : Effects {
    private val log = LoggerFactory.getLogger(Leader::class.java)

    /** A connection has one report under way, so that all of them have room: none is turned away for a burst. */
    private val events = Channel<() -> Unit>(settings.processLimits.fdLimit)
    private val limits = settings.stateLimits
    private val times = TaskTimes()
    private val planner = Planner(settings, policy, times)
    private val knowledge = CancellationKnowledge(settings.workers)
    private val flows = FlowClassifier(settings.objectives)
    private val recovery = features.recovery?.let(::Recovery)
    private val startTurns = features.admission?.let { StartTurns(flows) }
    private val cluster =
        Cluster(settings, authority.fencingToken, graceMicros, this, times, planner, wallMicros, clock, knowledge, startTurns, recovery)
    private val recoveryStore = recovery?.let {
        RecoveryStore(store, authority, clock, wallMicros, it, cluster::settled, events::send)
    }
    private val fleet = Fleet(settings, policy, authority.fencingToken)
    private val provisioner = Provisioner(cluster, fleet, planner, policy)
    private val jobStore: JobStore = JobStore(
        store,
        scope,
        authority,
        { cluster },
        limits.mostTxnOps,
        events::send,
        onChange = { storedJobs.openChanged(it) },
        onDone = { pipelines.over(it.id, Verdict.DONE) },
    )
    private val pipelines: PipelineCoordinator = PipelineCoordinator(
        store,
        scope,
        authority,
        { cluster },
        limits.mostTxnOps,
        wallMicros,
        clock::nowMicros,
        events::send,
    )
    private val fleetStore = FleetStore(store, scope, authority, { cluster.types }, limits.mostValueBytes, events::send)
    private val standingFleetStore = StandingFleetStore(
        store,
        cloud,
        clock,
        authority,
        limits.mostValueBytes,
        limits.mostTxnOps,
        settings.cloudLimits.listLagMicros,
    )
    private val duties = features.duties?.let { DutyHolder(it, store, cloud, clock, wallMicros, authority, limits) }
    private val cloudOperations =
        CloudOperations(
            cloud,
            duties ?: DirectExecutor(cloud),
            clock,
            scope,
            authority,
            cluster,
            fleet,
            provisioner,
            fleetStore,
            standingFleetStore,
            settings.cloudLimits.rps,
            events::send,
        )
    private val inheritedActions = duties?.let { InheritedActions(it, cluster, fleet, cloudOperations, scope, events::send) }
    private val admission = features.admission?.let {
        AdmissionLeader(store, clock, authority, it, it.capacity(limits), limits.mostValueBytes, ::openJobs)
    }
    private val usageLog = UsageLog(cluster, fleet)
    private val planStore = PlanStore(store, scope, authority, planner, limits.mostValueBytes, wallMicros)
    private val storedJobs: StoredJobs =
        StoredJobs(store, clock, cluster, { jobStore }, fleetStore, { pipelines }, knowledge, types, events::send)
    private var loaded = false
    private val peersKnowing = HashSet<String>()

    /** The answer to [report], which renews the worker's lease; null if there must be none. */
    suspend fun answer(report: Report): ReportAnswer? {
        if (report.fencingToken > authority.fencingToken) return null
        val reply = CompletableDeferred<ReportAnswer?>()
        // Reports wait until the store has been read: nothing is renewed by a leader that knows no cancellation.
        val taken = events.trySend {
            val now = clock.nowMicros()
            val commands = if (!mayRenew(now) || isCutOff(now)) null else cluster.report(report, now, allowedCommands(now))
            reply.complete(commands?.let { ReportAnswer(authority.fencingToken, it, knowledge, authority) })
        }
        return if (taken.isSuccess) reply.await() else null
    }

    private fun mayRenew(nowMicros: Long) = authority.mayAnswer(nowMicros) && nowMicros < knowledge.renewsUntilMicros

    private fun allowedCommands(nowMicros: Long): AllowedCommands = when {
        !authority.mayCommand(nowMicros) -> AllowedCommands.NO_COMMANDS
        nowMicros < knowledge.startsUntilMicros -> AllowedCommands.ALL
        else -> AllowedCommands.NO_STARTS
    }

    /**
     * Neither the store nor a peer answers: most likely this controller is cut off, and another one leads. In an
     * outage of the store alone the peers are still heard. Workers are better sent away than held in grace.
     */
    private fun isCutOff(nowMicros: Long): Boolean = !authority.mayCommand(nowMicros) && settings.members.isNotEmpty() && !peers.hearsAny

    /**
     * Gives the leadership away when the workers do not get through to this controller but to others: as long as it
     * renewed its lead, they would be sent back here until their leases are over.
     */
    private fun leaveIfWorkersAreLost(nowMicros: Long) {
        if (!cluster.hasLostWorkers(nowMicros) || !peers.workersAskElsewhere) return
        log.info("workers turn to other controllers and do not get through here: giving the leadership away")
        authority.abdicate()
    }

    /** Attempt numbers belong to a fencing token: with the next one there are as many again. */
    private fun leaveIfAttemptsAreUsedUp() {
        if (!cluster.attemptNumbers.isNearlyExhausted || authority.abdicated) return
        log.info("attempt numbers are nearly used up: giving the leadership away")
        authority.abdicate()
    }

    /** Another controller knows of [fencingToken]. Once all others know this term's, no earlier one can go on. */
    fun peerKnows(node: String, fencingToken: Long) {
        if (fencingToken < authority.fencingToken || !peersKnowing.add(node)) return
        endEarlierGraceIfKnown()
    }

    private fun endEarlierGraceIfKnown() {
        if (!loaded || !peersKnowing.containsAll(settings.members.map { it.nodeName })) return
        events.trySend { cluster.endEarlierGrace(clock.nowMicros()) }
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
        endEarlierGraceIfKnown()
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
        if (!authority.mayCommand(now)) return
        leaveIfWorkersAreLost(now)
        leaveIfAttemptsAreUsedUp()
        pipelines.step()
        cluster.tick(now)
        usageLog.step(now)
        cloudOperations.run(provisioner.step(wallMicros(), now))
        if (provisioner.freshPlan) {
            provisioner.freshPlan = false
            planStore.write(cluster.jobs.values)
        }
    }

    override fun storeOpened(job: Job) = jobStore.storeOpened(job)

    override fun storeDone(job: Job) = jobStore.storeDone(job)

    override fun dropCancelled(job: Job) = jobStore.dropCancelled(job)

    override fun storeMachines(machines: List<Machine>) = fleetStore.add(machines) {
        machines.forEach { it.onRecord = true }
        cluster.dirty = true
    }

    override fun dropMachines(names: List<String>) = fleetStore.remove(names)

    private companion object {
        const val TICK_MILLIS = 250L
    }
}
