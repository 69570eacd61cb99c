package linemast.scheduling

import linemast.domain.Command
import linemast.domain.Heartbeat
import linemast.domain.HeartbeatSize
import linemast.domain.Job
import linemast.domain.JobRecord
import linemast.domain.Machine
import linemast.domain.MachineType
import linemast.domain.Placement
import linemast.domain.StopReason
import linemast.domain.StoredJobRecord
import linemast.domain.TaskId
import linemast.domain.TaskStatus
import linemast.leadership.CancellationFreshness
import linemast.planning.BlockedStage
import linemast.planning.Planner
import linemast.planning.RunTimeEstimates
import linemast.recovery.StateReconciliation
import linemast.settings.Settings
import org.slf4j.LoggerFactory

/**
 * The leader's state: jobs, machines, and which task may be on which machine.
 *
 * The class does no I/O: it receives events and the time, returns commands and requests writes through [ClusterEffects]. One
 * coroutine owns it.
 *
 * No task runs twice because of one invariant: a placement is removed only when its task cannot be on the machine any more, and
 * a task with a placement is never started. Only [Cluster.remove] removes placements.
 */
class Cluster(
    settings: Settings,
    term: ClusterTerm,
    private val effects: ClusterEffects,
    /** Run times of tasks, as estimated by the jobs' owners and corrected by measurement. */
    val runTimeEstimates: RunTimeEstimates,
    /** Plans capacity for the jobs; its objectives and deadlines also determine their rank. */
    val planner: Planner,
    private val clocks: LeaderClocks,
    private val cancellationFreshness: CancellationFreshness = CancellationFreshness(settings.workers),
    policies: OptionalPolicies = OptionalPolicies(),
) {
    private val log = LoggerFactory.getLogger(Cluster::class.java)

    /** The fencing token of this leader's term. */
    val fencingToken = term.fencingToken

    /** Reconciles the state after an outage; null if the feature is not enabled. */
    internal val stateReconciliation: StateReconciliation? = policies.stateReconciliation

    /** Open jobs by id, in the order in which they became known. */
    val jobs = LinkedHashMap<String, Job>()

    /** The machines, and what the cloud has reported about them. */
    internal val knownMachines = KnownMachines(this)

    /** Known machines by name. */
    val machines: MutableMap<String, Machine> get() = knownMachines.machines

    /** Machine types by name. */
    var machineTypes: Map<String, MachineType> = emptyMap()

    /** Placements whose start has not been sent. */
    private val unsentAssignments = LinkedHashSet<Placement>()

    /** Placements that are being stopped to free their resources, or because the cloud is about to preempt their machine. */
    val stopping = LinkedHashSet<Placement>()

    internal val attemptNumbers = AttemptNumbers(fencingToken)

    /** Resources that each team uses, compared with its quota. */
    val quota = QuotaUsage(settings.teams)

    /** Returns how many tasks of a job the plan runs at the same time on baseline machines. */
    var plannedBaselineTasks: (Job) -> Int = { 0 }

    /** Jobs that are blocked by dependencies whose ends can be predicted. Capacity is planned for them, but they are not scheduled. */
    var blockedStages: List<BlockedStage> = emptyList()

    /** Whether the state has changed since the last scheduling cycle in a way that may let the scheduler place more tasks. */
    var needsScheduling = true

    /** Whether the last scheduling cycle left tasks pending because of a limit on the number of tasks rather than for lack of resources. */
    internal var hasLimitedAssignments = false

    private val unreadCancellations = UnreadCancellations()
    private var appliedRevision = 0L
    private val timing = WorkerTiming(settings.workers)
    private val scheduler = Scheduler(this, settings, term.maxTasks, policies.roundRobin)
    private val cycleTimer = CycleTimer(clocks.monotonic)
    private val leaseExpiry = LeaseExpiry(this, effects)
    private val jobFollowUp = JobFollowUp(this, effects)
    private val failureTracker = FailureTracker(this)
    internal val failover = FailoverReconciliation(this, term.degradedModeMicros, timing)
    private val heartbeatHandler = HeartbeatHandler(
        this,
        settings.workers,
        HeartbeatAcceptance(this, timing),
        TaskReconciliation(this, timing, TaskEndings(this, failureTracker)),
        TaskCommands(this),
        cancellationFreshness,
    )

    private val maxTasks = term.maxTasks

    /** Returns how many tasks this leader holds and may hold. */
    fun taskLoad() = TaskLoad(TaskBudget.heldTasks(machines.values), maxTasks)

    /** Whether every task that a previous leader started has been reported to this leader or has certainly ended. */
    val isReconciled: Boolean get() = failover.isReconciled

    /** Returns the wall time in microseconds. */
    fun wallMicros(): Long = clocks.wallMicros()

    /** Initializes the state with the records and machines read from the store; heartbeats are processed from [nowMicros] on. */
    fun load(records: List<StoredJobRecord>, registered: List<Machine>, nowMicros: Long) {
        for (stored in records) addJob(stored.record, stored.revision, inherited = stored.record.activated)
        for (machine in registered) machines[machine.name] = machine
        failover.begin(registered, nowMicros)
        failover.reconcile(nowMicros)
    }

    /** See [FailoverReconciliation.recordPreviousLeadersEnded]. */
    fun recordPreviousLeadersEnded(nowMicros: Long) = failover.recordPreviousLeadersEnded(nowMicros)

    /** See [HeartbeatHandler.handle]. */
    fun heartbeat(heartbeat: Heartbeat, nowMicros: Long, permission: CommandPermission = CommandPermission.ALL): List<Command>? =
        heartbeatHandler.handle(heartbeat, nowMicros, permission)

    /** Records that all changes of open jobs up to the store's [revision] have been applied. */
    fun recordAppliedRevision(revision: Long) {
        appliedRevision = maxOf(appliedRevision, revision)
    }

    /** Applies a job's record as stored at [revision]; ignores the late record of a job that has ended. */
    fun applyJobRecord(record: JobRecord, revision: Long) {
        val job = jobs[record.spec.id]
        if (job == null) {
            // The job was added when the changes up to this revision were applied, and has ended since.
            if (revision <= appliedRevision) return
            // Not inherited: jobs that a previous leader activated were in the store when the state was loaded.
            addJob(record, revision, inherited = false)
        } else {
            job.revision = maxOf(job.revision, revision)
            if (record.cancelled) cancel(job)
        }
        needsScheduling = true
    }

    /** Applies the cancellation of the job with [id], which the store holds; the job may be unknown to this leader. */
    fun applyCancellation(id: String, nowMicros: Long) {
        unreadCancellations.add(id, nowMicros)
        jobs[id]?.let(::cancel)
    }

    private fun addJob(record: JobRecord, revision: Long, inherited: Boolean) {
        val job = Job(record, revision, inherited, attemptNumbers.highest)
        // How long a job has waited under previous leaders is not known.
        if (inherited) job.lastActiveMicros = clocks.monotonic.nowMicros()
        if (job.id in unreadCancellations) job.cancelled = true
        if (job.cancelled) job.cancelledSinceMicros = clocks.monotonic.nowMicros()
        jobs[job.id] = job
    }

    /** Applies the deletion of a job's open record: the job is finished, and stays in memory until none of its tasks is on a machine. */
    fun applyJobDeletion(id: String) {
        val job = jobs[id] ?: return
        job.finished = true
        removeAssignmentsOf(job)
        if (job.placements.isEmpty()) jobs.remove(id)
        needsScheduling = true
    }

    /** Marks [job] as finished and removes it, after the store has recorded that all its tasks are completed. */
    fun finish(job: Job) {
        job.finished = true
        jobs.remove(job.id)
        if (job.spec.isGang) failover.recordFinishedGang(job)
        needsScheduling = true
    }

    /** Cancels [job] irrevocably: the store holds its cancellation. */
    fun cancel(job: Job) {
        if (job.cancelled) return
        job.cancelled = true
        // The cancellation was confirmed after the last complete read of the store; an earlier one would have appeared in that read.
        job.cancelledSinceMicros = cancellationFreshness.freshAsOfMicros ?: clocks.monotonic.nowMicros()
        log.info("{}: cancelled by its user, {} tasks to stop", job.id, job.placements.count { !it.isAssigned })
        removeAssignmentsOf(job)
        needsScheduling = true
    }

    private fun removeAssignmentsOf(job: Job) = job.placements.filter { it.isAssigned }.forEach(::remove)

    /** Assigns a task to [machine]; its start is sent in the response to the machine's next heartbeat. */
    fun assign(machine: Machine, job: Job, index: Int, attempt: Long): Placement {
        val placement = Placement(machine, TaskId(job.id, index), attempt, job)
        add(placement)
        return placement
    }

    /** Adds a placement and counts its resources as used. */
    internal fun add(placement: Placement) {
        if (placement.isAssigned) unsentAssignments += placement
        placement.machine.add(placement)
        placement.job?.add(placement)
        placement.job?.let { quota.add(it.spec) }
    }

    /** Returns the most bytes that the ended [task] takes up in the heartbeats of its machine. */
    internal fun heartbeatEntryBytes(task: TaskStatus): Int =
        jobs[task.task.job]?.heartbeatEntryBytes ?: HeartbeatSize.maxEntryBytes(task.key)

    /** Records that the start of [placement] has been sent in a response. */
    internal fun recordStartSent(placement: Placement) {
        unsentAssignments -= placement
        attemptNumbers.markUsed(placement.attempt)
        if (hasLimitedAssignments) needsScheduling = true
    }

    /** Removes all assignments whose start has not been sent, so that the next scheduling cycle can replace them. */
    fun removeAssignments() {
        unsentAssignments.toList().forEach(::remove)
        attemptNumbers.releaseUnused()
    }

    /** Marks a task to be stopped in the response to its machine's next heartbeat. */
    fun stop(placement: Placement, reason: StopReason, gracePeriodMicros: Long) {
        placement.stopReason = reason
        placement.stopGracePeriodMicros = gracePeriodMicros
        stopping += placement
    }

    /** Removes a placement whose task is certainly not on the machine any more. */
    fun remove(placement: Placement) {
        unsentAssignments -= placement
        stopping -= placement
        placement.machine.remove(placement)
        placement.job?.let {
            if (!placement.isAssigned) it.lastActiveMicros = clocks.monotonic.nowMicros()
            it.remove(placement)
            quota.remove(it.spec)
        }
        needsScheduling = true
    }

    /** Does the periodic work: expires leases and reservations, persists progress of jobs, and runs a scheduling cycle if one is due. */
    fun tick(nowMicros: Long) {
        unreadCancellations.removeRead(cancellationFreshness)
        leaseExpiry.expireLeases(nowMicros)
        expireReservations(nowMicros)
        failureTracker.update(nowMicros)
        // Tasks assigned to a machine whose heartbeat is overdue have to be assigned to another one.
        if (!needsScheduling) needsScheduling = unsentAssignments.any { !scheduler.hasRecentHeartbeat(it.machine, nowMicros) }
        if (scheduler.isLongWaitDue(nowMicros)) needsScheduling = true
        failover.reconcile(nowMicros)
        leaseExpiry.registerReportingMachines(nowMicros)
        for (job in jobs.values.toList()) jobFollowUp.followUp(job, nowMicros)
        runCycleIfDue(nowMicros)
    }

    /** Removes reservations that have expired or whose job needs no more machines. */
    private fun expireReservations(nowMicros: Long) {
        for (machine in machines.values) {
            val reservation = machine.reservation ?: continue
            val job = reservation.job
            if (nowMicros < reservation.untilMicros && jobs[job.id] === job && !job.cancelled && job.pendingCount > 0) continue
            machine.reservation = null
            // No other event would trigger a scheduling cycle that considers the machine again.
            needsScheduling = true
        }
    }

    /** Runs a scheduling cycle if [needsScheduling] is set and the pause after the last cycle is over. */
    internal fun runCycleIfDue(nowMicros: Long) {
        if (needsScheduling && cycleTimer.isDue(nowMicros)) cycleTimer.run(nowMicros) { scheduler.runCycle(nowMicros) }
    }

    /** Requests the write that tasks of [job] may have been started, which must be complete before the first start is sent. */
    fun activate(job: Job) {
        if (job.activation != Job.Activation.INACTIVE) return
        job.activation = Job.Activation.STORING
        effects.persistActivation(job)
    }

    /** Whether most of the workers that have sent heartbeats to this leader are overdue at the same time. */
    fun areMostHeartbeatsMissing(nowMicros: Long): Boolean =
        knownMachines.areMostHeartbeatsMissing(nowMicros, timing.missingHeartbeatMicros)

    /**
     * Whether machines of this kind are excluded for [job] although its tasks would fit on them. For this job they count neither
     * as free capacity nor as machines to scale out.
     */
    fun isExcluded(type: MachineType, spot: Boolean, job: Job): Boolean = scheduler.isExcluded(type, spot, job.spec)

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
