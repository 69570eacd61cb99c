package linemast.scheduling

import linemast.domain.Job
import linemast.domain.Machine
import linemast.leadership.LeaderLease
import linemast.time.MICROS_PER_MILLI
import org.slf4j.LoggerFactory

/**
 * Accounts, after a failover, for tasks that a previous leader may have started and that this one has not seen.
 *
 * The machines that may hold such tasks are registered in the store. Each is unconfirmed until it has shown this leader's
 * fencing token, so that it ignores older commands, or until its lease has surely expired. Times are readings of the
 * leader's clock.
 */
internal class FailoverReconciliation(
    private val cluster: Cluster,
    private val degradedModeMicros: Long,
    private val timing: WorkerTiming,
) {
    private val log = LoggerFactory.getLogger(FailoverReconciliation::class.java)

    /** Machines that may still hold unseen tasks of a previous leader. */
    private val unconfirmedMachines = LinkedHashSet<Machine>()

    /** Whether [unconfirmedMachines] changed since the jobs were last compared with it. */
    private var haveMachinesChanged = false

    /** Gangs that were done while machines that may hold tasks of theirs were unconfirmed. */
    private val finishedUnconfirmedGangs = ArrayList<Job>()

    /** When the store had been read and heartbeats began to count. */
    private var loadedMicros = 0L

    /** Until when a previous leader in degraded mode may answer heartbeats. */
    private var previousLeaderUntilMicros = 0L

    /** Whether every task that a previous leader started has been seen or has surely ended. */
    var isReconciled = false
        private set

    /** Begins with the machines that the store names; heartbeats count from [nowMicros] on. */
    fun begin(registered: List<Machine>, nowMicros: Long) {
        loadedMicros = nowMicros
        previousLeaderUntilMicros = nowMicros + degradedModeMicros + LeaderLease.driftMicros(degradedModeMicros)
        for (machine in registered) {
            machine.isRegistered = true
            machine.inherited = true
            // Until then a previous leader in degraded mode may renew the worker's lease.
            machine.leaseEndMicros = previousLeaderUntilMicros + timing.maxLeaseMicros
            unconfirmedMachines += machine
        }
        haveMachinesChanged = true
    }

    /**
     * Every other controller has shown that it knows this fencing token, which ended any lower term of its own: from now
     * on no previous leader answers a heartbeat.
     */
    fun recordPreviousLeadersEnded(nowMicros: Long) {
        if (nowMicros >= previousLeaderUntilMicros) return
        previousLeaderUntilMicros = nowMicros
        val latest = nowMicros + timing.maxLeaseMicros
        cluster.machines.values.forEach { it.leaseEndMicros = minOf(it.leaseEndMicros, latest) }
    }

    /** Until when some leader may answer a worker whose heartbeat came at [nowMicros] and showed [fencingToken]. */
    fun latestResponseMicros(fencingToken: Long, nowMicros: Long): Long =
        if (fencingToken >= cluster.fencingToken) nowMicros else maxOf(nowMicros, previousLeaderUntilMicros)

    /** A heartbeat of [machine] was accepted: it is confirmed if it has shown this leader's fencing token. */
    fun confirmIfTokenShown(machine: Machine, nowMicros: Long) {
        if (isReconciled || machine.fencingToken < cluster.fencingToken || !unconfirmedMachines.remove(machine)) return
        haveMachinesChanged = true
        if (unconfirmedMachines.isEmpty()) reconcile(nowMicros)
    }

    /** A gang is done with the first of its tasks that says so; others of its tasks may be on unconfirmed machines. */
    fun recordFinishedGang(job: Job) {
        if (!isReconciledFor(job)) finishedUnconfirmedGangs += job
    }

    /** Drops machines that need no confirmation any more, and updates which jobs may have tasks on the others. */
    fun reconcile(nowMicros: Long) {
        if (isReconciled) return
        if (unconfirmedMachines.removeIf { isConfirmed(it, nowMicros) }) haveMachinesChanged = true
        if (unconfirmedMachines.isEmpty()) {
            complete(nowMicros)
        } else if (haveMachinesChanged) {
            val shapes = unconfirmedMachines.mapTo(HashSet()) { it.shape }
            for (job in cluster.jobs.values) if (job.unconfirmed) job.unconfirmed = shapes.any { it.allows(job.spec) }
            cluster.dirty = true
        }
        haveMachinesChanged = false
    }

    private fun isConfirmed(machine: Machine, nowMicros: Long): Boolean = machine.fencingToken >= cluster.fencingToken ||
        nowMicros >= machine.leaseEndMicros ||
        cluster.machines[machine.name] !== machine

    private fun complete(nowMicros: Long) {
        isReconciled = true
        finishedUnconfirmedGangs.clear()
        cluster.dirty = true
        val tookMillis = (nowMicros - loadedMicros) / MICROS_PER_MILLI
        log.info("reconciled {} ms after loading: {} machines, {} jobs", tookMillis, cluster.machines.size, cluster.jobs.size)
    }

    /** Machines that are unconfirmed although their workers can have found the new leader. */
    fun missingMachines(nowMicros: Long): List<Machine> =
        if (!isReconciled && nowMicros >= loadedMicros + timing.failoverMicros) unconfirmedMachines.toList() else emptyList()

    /** Zones where most registered machines are confirmed: a machine that is missing there is not cut off with its zone. */
    fun zonesMostlyReporting(): Set<String> {
        val unconfirmed = unconfirmedMachines.groupingBy { it.zone }.eachCount()
        val registered = cluster.machines.values.filter { it.inherited }.groupingBy { it.zone }.eachCount()
        return registered.filter { (zone, count) -> (unconfirmed[zone] ?: 0) * MAX_MISSING_DIVISOR <= count }.keys
    }

    /** Whether no unseen task of [job] can be on a machine: unconfirmed machines that cannot hold one do not matter. */
    fun isReconciledFor(job: Job): Boolean = isReconciled || !job.unconfirmed

    /** Amounts that unseen tasks of previous leaders may use, by team: they count in full against the team's quota limit. */
    fun unconfirmedAmount(team: String, amount: (Job) -> Double): Double {
        if (isReconciled) return 0.0
        val ofOpenJobs = cluster.jobs.values.filter { it.spec.team == team && !isReconciledFor(it) }.sumOf { it.pendingCount * amount(it) }
        val ofDoneGangs = finishedUnconfirmedGangs.filter { it.spec.team == team }
            .sumOf { (it.spec.taskCount - it.placements.size) * amount(it) }
        return ofOpenJobs + ofDoneGangs
    }

    private companion object {
        /** A zone mostly reports if no more than one machine in this many is missing. */
        const val MAX_MISSING_DIVISOR = 4
    }
}
