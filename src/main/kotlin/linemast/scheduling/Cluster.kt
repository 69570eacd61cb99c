package linemast.scheduling

import linemast.admission.FlowRoundRobin
import linemast.domain.Command
import linemast.domain.Heartbeat
import linemast.domain.Job
import linemast.domain.JobRecord
import linemast.domain.Machine
import linemast.domain.MachineType
import linemast.domain.Placement
import linemast.domain.StopReason
import linemast.domain.TaskId
import linemast.leadership.CancellationFreshness
import linemast.planning.Planner
import linemast.planning.RunTimeEstimates
import linemast.planning.WaitingStage
import linemast.recovery.StateReconciliation
import linemast.settings.Settings
import linemast.time.Clock
import org.slf4j.LoggerFactory

/**
 * The leader's whole state: jobs, machines, and which task may be on which machine.
 *
 * Pure: events and the time go in, commands and [ClusterEffects] come out. It is owned by one coroutine.
 *
 * That no task runs twice rests on one thing: a placement is only removed when its task is surely not on the
 * machine, and a task with a placement is never started. Placements end here in [Cluster.remove] alone.
 */
class Cluster(
    private val settings: Settings,
    val fencingToken: Long,
    private val degradedModeMicros: Long,
    private val effects: ClusterEffects,
    val times: RunTimeEstimates,
    val planner: Planner,
    val wallMicros: () -> Long,
    private val clock: Clock,
    private val cancellationFreshness: CancellationFreshness = CancellationFreshness(settings.workers),
    /** Whose turn it is among jobs that have waited for long; without it all of them go first. */
    startTurns: FlowRoundRobin? = null,
    /** The reconciliation after an outage; null if it is not enabled. */
    internal val recovery: StateReconciliation? = null,
) {
    private val log = LoggerFactory.getLogger(Cluster::class.java)
    val jobs = LinkedHashMap<String, Job>()
    val machines = LinkedHashMap<String, Machine>()
    var types: Map<String, MachineType> = emptyMap()

    /** Tasks that were chosen for a machine and whose command has not left. */
    private val chosen = LinkedHashSet<Placement>()

    /** Tasks that are being stopped to make room or before a preemption. */
    val stopping = LinkedHashSet<Placement>()
    private var baseline: Set<String> = emptySet()

    /** Machines of which the cloud has confirmed that they are gone; names are never used again. */
    private val returned = LinkedHashSet<String>()

    /** Machines whose return may be carried out at any moment: they get no work. */
    private val beingReturned = HashSet<String>()

    internal val attemptNumbers = AttemptNumbers(fencingToken)
    val quota = QuotaUsage(settings.teams)
    private val scheduler = Scheduler(this, settings, startTurns)

    /** Tasks of a job that the plan books on owned machines side by side. */
    var bookings: (Job) -> Int = { 0 }

    /** Jobs that wait for others of which it can be told when they end: they are planned ahead, and nothing else is done. */
    var waitingStages: List<WaitingStage> = emptyList()

    /** Set by whatever may change what can be placed. */
    var dirty = true
    private var nextCycleMicros = 0L

    private val timing = WorkerTiming(settings.workers)
    internal val failover = FailoverReconciliation(this, degradedModeMicros, timing)
    private val heartbeatHandler = HeartbeatHandler(this, settings.workers, timing, cancellationFreshness, TaskCommands(this))

    /** Whether every task that an earlier leader started has been seen or is surely gone. */
    val isReconciled: Boolean get() = failover.isReconciled

    /** Takes what the store held; reports count from [nowMicros] on. */
    fun load(records: List<Pair<JobRecord, Long>>, recorded: List<Machine>, nowMicros: Long) {
        for ((record, revision) in records) add(record, revision, inherited = record.opened)
        for (machine in recorded) machines[machine.name] = machine
        failover.begin(recorded, nowMicros)
        failover.reconcile(nowMicros)
    }

    /** See [FailoverReconciliation.endPreviousLeaders]. */
    fun endPreviousLeaders(nowMicros: Long) = failover.endPreviousLeaders(nowMicros)

    /** See [HeartbeatHandler.handle]. */
    fun heartbeat(heartbeat: Heartbeat, nowMicros: Long, allowedCommands: CommandPermission = CommandPermission.ALL): List<Command>? =
        heartbeatHandler.handle(heartbeat, nowMicros, allowedCommands)

    /** Takes a job's record as the store holds it at [revision]. */
    fun putJob(record: JobRecord, revision: Long) {
        val job = jobs[record.spec.id]
        if (job == null) {
            // Whatever an earlier leader opened was there to be loaded.
            add(record, revision, inherited = false)
        } else {
            job.revision = maxOf(job.revision, revision)
            if (record.cancelled) cancel(job)
        }
        dirty = true
    }

    private fun add(record: JobRecord, revision: Long, inherited: Boolean) {
        val job = Job(record, revision, inherited)
        if (job.cancelled) job.cancelledSinceMicros = clock.nowMicros()
        jobs[job.id] = job
    }

    /** The open record is gone: the job is over. It is kept while a task of it may still be on a machine, to be stopped there. */
    fun dropJob(id: String) {
        val job = jobs[id] ?: return
        job.finished = true
        unassign(job)
        if (job.placements.isEmpty()) jobs.remove(id)
        dirty = true
    }

    /** The store says that all tasks of the job are done. */
    fun finish(job: Job) {
        job.finished = true
        jobs.remove(job.id)
        if (job.spec.isGang) failover.gangFinished(job)
        dirty = true
    }

    /** Stops [job] for good; its user was told that it is cancelled. */
    fun cancel(job: Job) {
        if (job.cancelled) return
        job.cancelled = true
        // Confirmed after the last complete read, or that would have shown it.
        job.cancelledSinceMicros = cancellationFreshness.freshAsOfMicros ?: clock.nowMicros()
        log.info("{}: cancelled by its user, {} tasks to stop", job.id, job.placements.count { !it.isAssigned })
        unassign(job)
        dirty = true
    }

    private fun unassign(job: Job) = job.placements.filter { it.isAssigned }.forEach(::remove)

    /** Chooses [machine] for a task; the command leaves with the machine's next report. */
    fun addAssigned(machine: Machine, job: Job, index: Int, attempt: Long): Placement {
        val placement = Placement(machine, TaskId(job.id, index), attempt, job)
        put(placement)
        return placement
    }

    internal fun put(placement: Placement) {
        if (placement.isAssigned) chosen += placement
        placement.machine.put(placement)
        placement.job?.add(placement)
        placement.job?.let { quota.add(it.spec) }
    }

    /** The start of [placement] has left in an answer. */
    internal fun commandSent(placement: Placement) {
        chosen -= placement
        attemptNumbers.use(placement.attempt)
    }

    /** Choices whose command has not left may be dropped at will. */
    fun forgetChoices() {
        chosen.toList().forEach(::remove)
        attemptNumbers.forgetUnused()
    }

    /** Has a task stopped with the next answer to its machine. */
    fun stop(placement: Placement, reason: StopReason, gracePeriodMicros: Long) {
        placement.stopReason = reason
        placement.stopGracePeriodMicros = gracePeriodMicros
        stopping += placement
    }

    /** Forgets a placement: its task is surely not on the machine any more. */
    fun remove(placement: Placement) {
        chosen -= placement
        stopping -= placement
        placement.machine.remove(placement)
        placement.job?.let {
            it.remove(placement)
            quota.remove(it.spec)
        }
        dirty = true
    }

    /** Regular work: ends leases, follows up on cancelled jobs, places what can be placed. */
    fun tick(nowMicros: Long) {
        endLeases(nowMicros)
        releaseReservations(nowMicros)
        // What was chosen for a machine that has fallen silent since is chosen anew.
        if (!dirty) dirty = chosen.any { !scheduler.isFresh(it.machine, nowMicros) }
        failover.reconcile(nowMicros)
        val unregistered = machines.values.filter { !it.isRegistered && it.lastHeartbeatMicros > 0 && nowMicros < it.leaseEndMicros }
        if (unregistered.isNotEmpty()) effects.storeMachines(unregistered)
        for (job in jobs.values.toList()) followUp(job, nowMicros)
        runCycleIfDue(nowMicros)
    }

    /** What runs nothing any more is taken off the record, so that the next leader need not wait for it. */
    private fun endLeases(nowMicros: Long) {
        val over = ArrayList<String>()
        for (machine in machines.values) {
            if (nowMicros < machine.leaseEndMicros || (!machine.isRegistered && machine.placements.isEmpty())) continue
            if (machine.placements.isNotEmpty()) {
                log.info("{}: silent for longer than a lease, {} tasks lost", machine.name, machine.placements.size)
                machine.placements.values.toList().forEach(::remove)
                machine.ended.clear()
            }
            if (machine.isRegistered) over += machine.name
            machine.isRegistered = false
        }
        if (over.isNotEmpty()) effects.dropMachines(over)
    }

    /** Those that are over, or whose job has no more need: nothing else would have the machines looked at again. */
    private fun releaseReservations(nowMicros: Long) {
        for (machine in machines.values) {
            val job = machine.reservedFor ?: continue
            if (nowMicros < machine.reservedUntilMicros && jobs[job.id] === job && !job.cancelled && job.pendingCount > 0) continue
            machine.reservedFor = null
            dirty = true
        }
    }

    private fun followUp(job: Job, nowMicros: Long) {
        if (job.finished) {
            if (job.placements.isEmpty()) jobs.remove(job.id)
        } else if (job.cancelled) {
            if (failover.isReconciledFor(job) && job.placements.isEmpty() && !job.writingDone) effects.dropCancelled(job)
        } else if (!job.writingDone && !job.dirtyParts.isEmpty) {
            // Progress is stored now and then: each write takes from what submissions and ends of jobs need.
            if (!job.isDone && nowMicros < job.doneStoredMicros + PROGRESS_MICROS) return
            job.doneStoredMicros = nowMicros
            effects.storeDone(job)
        }
    }

    /** Passes take a bounded part of the time, however large the fleet: what a long one costs, reports get before the next. */
    internal fun runCycleIfDue(nowMicros: Long) {
        if (!dirty || nowMicros < nextCycleMicros) return
        val start = clock.nowMicros()
        scheduler.runCycle(nowMicros)
        nextCycleMicros = nowMicros + maxOf(CYCLE_MICROS, (clock.nowMicros() - start) * IDLE_SPANS_PER_CYCLE)
    }

    /** Has it stored that tasks of [job] may have been started, before the first start leaves. */
    fun open(job: Job) {
        if (job.opened != Job.Opened.NO) return
        job.opened = Job.Opened.STORING
        effects.storeOpened(job)
    }

    /** Whether most workers that reported to this leader have fallen silent at once. */
    fun hasLostWorkers(nowMicros: Long): Boolean {
        var known = 0
        var heard = 0
        for (machine in machines.values) {
            if (machine.lastHeartbeatMicros == 0L || machine.draining) continue
            known++
            if (nowMicros - machine.lastHeartbeatMicros < timing.lostAfterMicros) heard++
        }
        return known >= FEW_WORKERS && heard * MOSTLY < known
    }

    /** Machines that fit a job and are yet kept from it do not count as room for it, neither there nor to be rented. */
    fun isClosedTo(type: MachineType, spot: Boolean, job: Job): Boolean = scheduler.isClosedTo(type, spot, job.spec)

    internal fun isStartable(job: Job, nowMicros: Long): Boolean = scheduler.isStartable(job, nowMicros)

    internal fun isBaseline(machineName: String): Boolean = machineName in baseline

    /** Whether the cloud has confirmed that the machine is gone. */
    internal fun isReturned(machineName: String): Boolean = machineName in returned

    /** Whether the machine's return may be carried out at any moment. */
    internal fun isBeingReturned(machineName: String): Boolean = machineName in beingReturned

    /** An earlier leader has decided the return of these: they get no work any more. */
    fun markBeingReturned(names: Collection<String>) {
        beingReturned += names
        names.forEach { machines[it]?.draining = true }
    }

    /** Whether no task can be on the machine, as far as that can be known. */
    fun isFree(machineName: String): Boolean = isReconciled && machines[machineName]?.placements.isNullOrEmpty()

    /** Which machines are owned is known by the fleet. */
    fun markBaseline(names: Set<String>) {
        baseline = names
        machines.values.forEach { it.baseline = it.name in names }
    }

    /** Machines that are neither listed nor heard of any more; the names of those that were on record. */
    fun forgetAbsent(listed: Set<String>, nowMicros: Long): List<String> {
        val absent = machines.values.filter {
            it.name !in listed && it.placements.isEmpty() && nowMicros > it.leaseEndMicros + FORGET_MICROS
        }
        absent.forEach { machines.remove(it.name) }
        return absent.filter { it.isRegistered }.map { it.name }
    }

    /** The cloud has confirmed that these are gone. */
    fun returned(names: Collection<String>) {
        for (name in names) {
            returned += name
            beingReturned -= name
            val machine = machines.remove(name) ?: continue
            machine.placements.values.toList().forEach(::remove)
        }
        while (returned.size > MAX_RETURNED) returned.remove(returned.first())
        dirty = true
    }

    private companion object {
        const val CYCLE_MICROS = 100_000L

        /** A pass is followed by at least this many times its own span without one. */
        const val IDLE_SPANS_PER_CYCLE = 8
        const val FEW_WORKERS = 3

        /** Most are lost if less than one in this many is heard. */
        const val MOSTLY = 4

        /** Late reports come minutes late at most; so many are four times the machines of the largest fleet. */
        const val MAX_RETURNED = 24_000
        const val PROGRESS_MICROS = 5_000_000L
        const val FORGET_MICROS = 30_000_000L
    }
}
