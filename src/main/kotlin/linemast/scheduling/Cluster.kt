package linemast.scheduling

import linemast.domain.Command
import linemast.domain.Heartbeat
import linemast.domain.Job
import linemast.domain.JobRecord
import linemast.domain.Machine
import linemast.domain.MachineType
import linemast.domain.Placement
import linemast.domain.StopReason
import linemast.domain.StoredJobRecord
import linemast.domain.TaskId
import linemast.leadership.CancellationFreshness
import linemast.planning.Planner
import linemast.planning.RunTimeEstimates
import linemast.planning.WaitingStage
import linemast.recovery.StateReconciliation
import linemast.settings.Settings
import org.slf4j.LoggerFactory

/**
 * The leader's whole state: jobs, machines, and which task may be on which machine.
 *
 * Pure: events and the time go in, commands and [ClusterEffects] come out. It is owned by one coroutine.
 *
 * That no task runs twice rests on one invariant: a placement is only removed when its task is surely not on the
 * machine, and a task with a placement is never started. Placements end in [Cluster.remove] alone.
 */
class Cluster(
    settings: Settings,
    term: ClusterTerm,
    private val effects: ClusterEffects,
    /** Run times of tasks, as estimated by owners and corrected by measurement. */
    val runTimeEstimates: RunTimeEstimates,
    /** Plans capacity for the jobs; its objectives and deadlines also rank them. */
    val planner: Planner,
    private val clocks: LeaderClocks,
    private val cancellationFreshness: CancellationFreshness = CancellationFreshness(settings.workers),
    policies: OptionalPolicies = OptionalPolicies(),
) {
    private val log = LoggerFactory.getLogger(Cluster::class.java)

    /** The fencing token of this leader's term. */
    val fencingToken = term.fencingToken

    /** The reconciliation after an outage; null if it is not enabled. */
    internal val recovery: StateReconciliation? = policies.recovery

    /** Open jobs by id, in the order in which they became known. */
    val jobs = LinkedHashMap<String, Job>()

    /** Machines, and what the cloud says of them. */
    internal val knownMachines = KnownMachines(this)

    /** Known machines by name. */
    val machines: MutableMap<String, Machine> get() = knownMachines.machines

    /** Machine types by name. */
    var types: Map<String, MachineType> = emptyMap()

    /** Placements that were assigned to a machine and whose start has not left. */
    private val unsentAssignments = LinkedHashSet<Placement>()

    /** Placements that are being stopped to free their resources, or before the cloud preempts their machine. */
    val stopping = LinkedHashSet<Placement>()

    internal val attemptNumbers = AttemptNumbers(fencingToken)

    /** What teams use of their quotas. */
    val quota = QuotaUsage(settings.teams)

    /** How many tasks of a job the plan runs side by side on baseline machines. */
    var plannedBaselineTasks: (Job) -> Int = { 0 }

    /** Jobs blocked by dependencies whose ends can be predicted: they are planned ahead, and nothing else. */
    var waitingStages: List<WaitingStage> = emptyList()

    /** Whether something changed that may let the scheduler place more tasks. */
    var dirty = true

    private val timing = WorkerTiming(settings.workers)
    private val scheduler = Scheduler(this, settings, policies.roundRobin)
    private val cycleTimer = CycleTimer(clocks.monotonic)
    private val leaseExpiry = LeaseExpiry(this, effects)
    private val jobFollowUp = JobFollowUp(this, effects)
    internal val failover = FailoverReconciliation(this, term.degradedModeMicros, timing)
    private val heartbeatHandler = HeartbeatHandler(
        this,
        settings.workers,
        HeartbeatAcceptance(this, timing),
        TaskReconciliation(this, timing, TaskEndings(this)),
        TaskCommands(this),
        cancellationFreshness,
    )

    /** Whether every task that a previous leader started has been seen or has surely ended. */
    val isReconciled: Boolean get() = failover.isReconciled

    /** The time of day in microseconds. */
    fun wallMicros(): Long = clocks.wallMicros()

    /** Takes what the store held; heartbeats count from [nowMicros] on. */
    fun load(records: List<StoredJobRecord>, registered: List<Machine>, nowMicros: Long) {
        for (stored in records) add(stored.record, stored.revision, inherited = stored.record.activated)
        for (machine in registered) machines[machine.name] = machine
        failover.begin(registered, nowMicros)
        failover.reconcile(nowMicros)
    }

    /** See [FailoverReconciliation.recordPreviousLeadersEnded]. */
    fun recordPreviousLeadersEnded(nowMicros: Long) = failover.recordPreviousLeadersEnded(nowMicros)

    /** See [HeartbeatHandler.handle]. */
    fun heartbeat(heartbeat: Heartbeat, nowMicros: Long, permission: CommandPermission = CommandPermission.ALL): List<Command>? =
        heartbeatHandler.handle(heartbeat, nowMicros, permission)

    /** Takes a job's record as the store holds it at [revision]. */
    fun applyJobRecord(record: JobRecord, revision: Long) {
        val job = jobs[record.spec.id]
        if (job == null) {
            // Whatever a previous leader activated was there to be loaded.
            add(record, revision, inherited = false)
        } else {
            job.revision = maxOf(job.revision, revision)
            if (record.cancelled) cancel(job)
        }
        dirty = true
    }

    private fun add(record: JobRecord, revision: Long, inherited: Boolean) {
        val job = Job(record, revision, inherited)
        if (job.cancelled) job.cancelledSinceMicros = clocks.monotonic.nowMicros()
        jobs[job.id] = job
    }

    /** The open record is gone: the job is over. It is kept while a task of it may still be on a machine, to be stopped there. */
    fun applyJobDeletion(id: String) {
        val job = jobs[id] ?: return
        job.finished = true
        removeAssignmentsOf(job)
        if (job.placements.isEmpty()) jobs.remove(id)
        dirty = true
    }

    /** The store says that all tasks of the job are done. */
    fun finish(job: Job) {
        job.finished = true
        jobs.remove(job.id)
        if (job.spec.isGang) failover.recordFinishedGang(job)
        dirty = true
    }

    /** Stops [job] for good; the cancellation was confirmed to its user. */
    fun cancel(job: Job) {
        if (job.cancelled) return
        job.cancelled = true
        // Confirmed after the last complete read, or that would have shown it.
        job.cancelledSinceMicros = cancellationFreshness.freshAsOfMicros ?: clocks.monotonic.nowMicros()
        log.info("{}: cancelled by its user, {} tasks to stop", job.id, job.placements.count { !it.isAssigned })
        removeAssignmentsOf(job)
        dirty = true
    }

    private fun removeAssignmentsOf(job: Job) = job.placements.filter { it.isAssigned }.forEach(::remove)

    /** Assigns a task to [machine]; its start leaves with the response to the machine's next heartbeat. */
    fun assign(machine: Machine, job: Job, index: Int, attempt: Long): Placement {
        val placement = Placement(machine, TaskId(job.id, index), attempt, job)
        put(placement)
        return placement
    }

    /** Adds a placement and counts its resources. */
    internal fun put(placement: Placement) {
        if (placement.isAssigned) unsentAssignments += placement
        placement.machine.put(placement)
        placement.job?.add(placement)
        placement.job?.let { quota.add(it.spec) }
    }

    /** The start of [placement] has left in a response. */
    internal fun recordStartSent(placement: Placement) {
        unsentAssignments -= placement
        attemptNumbers.markUsed(placement.attempt)
    }

    /** Drops all assignments whose start has not left, so that the scheduler makes them anew. */
    fun removeAssignments() {
        unsentAssignments.toList().forEach(::remove)
        attemptNumbers.releaseUnused()
    }

    /** Has a task stopped with the response to its machine's next heartbeat. */
    fun stop(placement: Placement, reason: StopReason, gracePeriodMicros: Long) {
        placement.stopReason = reason
        placement.stopGracePeriodMicros = gracePeriodMicros
        stopping += placement
    }

    /** Removes a placement: its task is surely not on the machine any more. */
    fun remove(placement: Placement) {
        unsentAssignments -= placement
        stopping -= placement
        placement.machine.remove(placement)
        placement.job?.let {
            it.remove(placement)
            quota.remove(it.spec)
        }
        dirty = true
    }

    /** Regular work: expires leases and reservations, follows up on jobs, places what can be placed. */
    fun tick(nowMicros: Long) {
        leaseExpiry.expireLeases(nowMicros)
        expireReservations(nowMicros)
        // What was assigned to a machine whose heartbeat is missing since is assigned anew.
        if (!dirty) dirty = unsentAssignments.any { !scheduler.hasRecentHeartbeat(it.machine, nowMicros) }
        failover.reconcile(nowMicros)
        leaseExpiry.registerReportingMachines(nowMicros)
        for (job in jobs.values.toList()) jobFollowUp.followUp(job, nowMicros)
        runCycleIfDue(nowMicros)
    }

    /** Ends reservations that have expired or whose job needs no more machines. */
    private fun expireReservations(nowMicros: Long) {
        for (machine in machines.values) {
            val reservation = machine.reservation ?: continue
            val job = reservation.job
            if (nowMicros < reservation.untilMicros && jobs[job.id] === job && !job.cancelled && job.pendingCount > 0) continue
            machine.reservation = null
            // Nothing else would make the scheduler look at the machine again.
            dirty = true
        }
    }

    /** Runs a scheduling cycle if something changed and the pause after the last cycle is over. */
    internal fun runCycleIfDue(nowMicros: Long) {
        if (dirty && cycleTimer.isDue(nowMicros)) cycleTimer.run(nowMicros) { scheduler.runCycle(nowMicros) }
    }

    /** Has it stored that tasks of [job] may have been started, before the first start leaves. */
    fun activate(job: Job) {
        if (job.activation != Job.Activation.INACTIVE) return
        job.activation = Job.Activation.STORING
        effects.persistActivation(job)
    }

    /** Whether heartbeats of most workers that reached this leader are missing at once. */
    fun areMostHeartbeatsMissing(nowMicros: Long): Boolean =
        knownMachines.areMostHeartbeatsMissing(nowMicros, timing.missingHeartbeatMicros)

    /** Whether machines of this kind are kept from [job] although it fits: they count neither as free nor as worth renting for it. */
    fun isTypeExcluded(type: MachineType, spot: Boolean, job: Job): Boolean = scheduler.isTypeExcluded(type, spot, job.spec)

    internal fun isStartable(job: Job, nowMicros: Long): Boolean = scheduler.isStartable(job, nowMicros)

    /** See [KnownMachines.markBaseline]. */
    fun markBaseline(names: Set<String>) = knownMachines.markBaseline(names)

    /** See [KnownMachines.markScalingIn]. */
    fun markScalingIn(names: Collection<String>) = knownMachines.markScalingIn(names)

    /** See [KnownMachines.markTerminated]. */
    fun markTerminated(names: Collection<String>) = knownMachines.markTerminated(names)

    /** See [KnownMachines.removeUnlisted]. */
    fun removeUnlisted(listed: Set<String>, nowMicros: Long): List<String> = knownMachines.removeUnlisted(listed, nowMicros)

    /** See [KnownMachines.isFree]. */
    fun isFree(machineName: String): Boolean = knownMachines.isFree(machineName)
}
