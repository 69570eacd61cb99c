package linemast.scheduling

import linemast.domain.Job
import linemast.domain.Machine
import linemast.leadership.LeaderLease
import linemast.time.MICROS_PER_MILLI
import org.slf4j.LoggerFactory

/**
 * Tracks, after a failover, the tasks that a previous leader may have started and that no worker has reported to this leader yet.
 *
 * The machines that may hold such tasks are registered in the store. A machine is unconfirmed until its worker has shown this
 * leader's fencing token, and thus ignores commands of previous leaders, until its lease has certainly expired, or until the
 * cloud has confirmed its termination. Times are monotonic times of the leader's process.
 */
internal class FailoverReconciliation(
    private val cluster: Cluster,
    private val degradedModeMicros: Long,
    private val timing: WorkerTiming,
) {
    private val log = LoggerFactory.getLogger(FailoverReconciliation::class.java)

    /** Machines that may still hold tasks of a previous leader that were not reported to this one. */
    private val unconfirmedMachines = LinkedHashSet<Machine>()

    /** Whether [unconfirmedMachines] has changed since [Job.hasUnconfirmedTasks] was last updated. */
    private var haveMachinesChanged = false

    /** Gangs that finished while machines that may hold some of their tasks were unconfirmed. */
    private val finishedUnconfirmedGangs = ArrayList<Job>()

    /** When the state had been loaded from the store, and heartbeats began to be processed. */
    private var loadedMicros = 0L

    /** Until when a previous leader in degraded mode may respond to heartbeats. */
    private var previousLeaderUntilMicros = 0L

    /** Whether every task that a previous leader started has been reported to this leader or has certainly ended. */
    var isReconciled = false
        private set

    /** Marks the machines that are registered in the store as unconfirmed; heartbeats are processed from [nowMicros] on. */
    fun begin(registered: List<Machine>, nowMicros: Long) {
        loadedMicros = nowMicros
        previousLeaderUntilMicros = nowMicros + degradedModeMicros + LeaderLease.driftMicros(degradedModeMicros)
        for (machine in registered) {
            machine.isRegistered = true
            machine.registeredByPreviousLeader = true
            // A previous leader in degraded mode may renew the worker's lease until previousLeaderUntilMicros.
            machine.leaseEndMicros = previousLeaderUntilMicros + timing.maxLeaseMicros
            unconfirmedMachines += machine
        }
        haveMachinesChanged = true
    }

    /**
     * Records that no previous leader responds to heartbeats any more: every other controller has observed this leader's fencing
     * token, which ended any earlier term of that controller.
     */
    fun recordPreviousLeadersEnded(nowMicros: Long) {
        if (nowMicros >= previousLeaderUntilMicros) return
        previousLeaderUntilMicros = nowMicros
        val latest = nowMicros + timing.maxLeaseMicros
        cluster.machines.values.forEach { it.leaseEndMicros = minOf(it.leaseEndMicros, latest) }
    }

    /** Returns the latest time at which any leader may respond to a worker whose heartbeat at [nowMicros] showed [fencingToken]. */
    fun latestResponseMicros(fencingToken: Long, nowMicros: Long): Long =
        if (fencingToken >= cluster.fencingToken) nowMicros else maxOf(nowMicros, previousLeaderUntilMicros)

    /** Confirms [machine], of which a heartbeat was accepted, if its worker has shown this leader's fencing token. */
    fun confirmIfTokenShown(machine: Machine, nowMicros: Long) {
        if (isReconciled || machine.fencingToken < cluster.fencingToken || !unconfirmedMachines.remove(machine)) return
        haveMachinesChanged = true
        if (unconfirmedMachines.isEmpty()) reconcile(nowMicros)
    }

    /** Records the gang [job] as finished. One completed task finishes a gang, so its other tasks may be on unconfirmed machines. */
    fun recordFinishedGang(job: Job) {
        if (!isReconciledFor(job)) finishedUnconfirmedGangs += job
    }

    /** Removes machines that need no confirmation any more, and updates which jobs may have tasks on the remaining ones. */
    fun reconcile(nowMicros: Long) {
        if (isReconciled) return
        if (unconfirmedMachines.removeIf { isConfirmed(it, nowMicros) }) haveMachinesChanged = true
        if (unconfirmedMachines.isEmpty()) {
            complete(nowMicros)
        } else if (haveMachinesChanged) {
            val shapes = unconfirmedMachines.mapTo(HashSet()) { it.shape }
            for (job in cluster.jobs.values) if (job.hasUnconfirmedTasks) job.hasUnconfirmedTasks = shapes.any { it.allows(job.spec) }
            cluster.needsScheduling = true
        }
        haveMachinesChanged = false
    }

    /** Whether [machine] needs no confirmation any more. A machine that has been terminated is not in [Cluster.machines] any more. */
    private fun isConfirmed(machine: Machine, nowMicros: Long): Boolean = machine.fencingToken >= cluster.fencingToken ||
        nowMicros >= machine.leaseEndMicros ||
        cluster.machines[machine.name] !== machine

    private fun complete(nowMicros: Long) {
        isReconciled = true
        finishedUnconfirmedGangs.clear()
        cluster.needsScheduling = true
        val tookMillis = (nowMicros - loadedMicros) / MICROS_PER_MILLI
        log.info(
            "tasks of previous leaders reconciled {} ms after loading: {} machines, {} jobs",
            tookMillis,
            cluster.machines.size,
            cluster.jobs.size,
        )
    }

    /** Returns the machines that are unconfirmed although their workers have had time to find the new leader. */
    fun missingMachines(nowMicros: Long): List<Machine> =
        if (!isReconciled && nowMicros >= loadedMicros + timing.failoverMicros) unconfirmedMachines.toList() else emptyList()

    /** Returns the zones where most registered machines are confirmed; a machine missing there is not in a partitioned zone. */
    fun zonesMostlyReporting(): Set<String> {
        val unconfirmed = unconfirmedMachines.groupingBy { it.zone }.eachCount()
        val registered = cluster.machines.values.filter { it.registeredByPreviousLeader }.groupingBy { it.zone }.eachCount()
        return registered.filter { (zone, count) -> (unconfirmed[zone] ?: 0) * MAX_MISSING_DIVISOR <= count }.keys
    }

    /** Whether no unreported task of [job] can be on a machine; unconfirmed machines that cannot host the job are ignored. */
    fun isReconciledFor(job: Job): Boolean = isReconciled || !job.hasUnconfirmedTasks

    /**
     * Returns how much of a resource unreported tasks of previous leaders may use in [team]; all of it counts against the quota
     * limit. [amount] returns how much of the resource one task of a job uses.
     */
    fun unconfirmedAmount(team: String, amount: (Job) -> Double): Double {
        if (isReconciled) return 0.0
        val ofOpenJobs = cluster.jobs.values.filter { it.spec.team == team && !isReconciledFor(it) }.sumOf { it.pendingCount * amount(it) }
        val ofFinishedGangs = finishedUnconfirmedGangs.filter { it.spec.team == team }
            .sumOf { (it.spec.taskCount - it.placements.size) * amount(it) }
        return ofOpenJobs + ofFinishedGangs
    }

    private companion object {
        /** Most machines of a zone are confirmed if at most one in this many is missing. */
        const val MAX_MISSING_DIVISOR = 4
    }
}
