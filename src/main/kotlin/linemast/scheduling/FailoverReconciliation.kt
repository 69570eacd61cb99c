package linemast.scheduling

import linemast.domain.Job
import linemast.domain.Machine
import linemast.leadership.LeaderLease
import linemast.time.MICROS_PER_MILLI
import org.slf4j.LoggerFactory

/**
 * The time after a change of leader in which tasks of an earlier leader may run that this one has not seen.
 *
 * The machines that may hold such tasks are on record in the store. Each is waited for until it has shown this leader's
 * fencing token, so that it drops older commands, or until its lease is surely over.
 */
internal class FailoverReconciliation(
    private val cluster: Cluster,
    private val degradedModeMicros: Long,
    private val timing: WorkerTiming,
) {
    private val log = LoggerFactory.getLogger(FailoverReconciliation::class.java)

    /** Machines that may still hold unseen tasks of an earlier leader. */
    private val unconfirmedOn = LinkedHashSet<Machine>()
    private var unconfirmedChanged = false

    /** Gangs that were done before this leader had heard from all machines that may hold tasks of theirs. */
    private val doneWithUnconfirmedTasks = ArrayList<Job>()

    /** When the store had been read and reports began to count. */
    private var loadedMicros = 0L

    /** Until when an earlier leader may answer reports in its grace. */
    private var previousLeaderUntilMicros = 0L

    /** Whether every task that an earlier leader started has been seen or is surely gone. */
    var isReconciled = false
        private set

    /** Begins with the machines on record; reports count from [nowMicros] on. */
    fun begin(recorded: List<Machine>, nowMicros: Long) {
        loadedMicros = nowMicros
        previousLeaderUntilMicros = nowMicros + degradedModeMicros + LeaderLease.driftMicros(degradedModeMicros)
        for (machine in recorded) {
            machine.isRegistered = true
            machine.inherited = true
            // An earlier leader in its grace may answer this worker until then.
            machine.leaseEndMicros = previousLeaderUntilMicros + timing.longestLeaseMicros
            unconfirmedOn += machine
        }
        unconfirmedChanged = true
    }

    /**
     * Every other controller has shown that it knows this fencing token, which ended any lower term of its own: from now
     * on no earlier leader answers a report.
     */
    fun endPreviousLeaders(nowMicros: Long) {
        if (nowMicros >= previousLeaderUntilMicros) return
        previousLeaderUntilMicros = nowMicros
        val latest = nowMicros + timing.longestLeaseMicros
        cluster.machines.values.forEach { it.leaseEndMicros = minOf(it.leaseEndMicros, latest) }
    }

    /** Until when some leader may answer a worker whose report came at [nowMicros] and showed [fencingToken]. */
    fun answeredUntilMicros(fencingToken: Long, nowMicros: Long): Long =
        if (fencingToken >= cluster.fencingToken) nowMicros else maxOf(nowMicros, previousLeaderUntilMicros)

    /** [machine] has reported: it holds no unseen task if it has shown this leader's fencing token. */
    fun heardFrom(machine: Machine, nowMicros: Long) {
        if (isReconciled || machine.fencingToken < cluster.fencingToken || !unconfirmedOn.remove(machine)) return
        unconfirmedChanged = true
        if (unconfirmedOn.isEmpty()) reconcile(nowMicros)
    }

    /** A gang is done with the first of its tasks that says so; those that nobody has seen yet may still be there. */
    fun gangFinished(job: Job) {
        if (!isReconciledFor(job)) doneWithUnconfirmedTasks += job
    }

    /** Takes stock of which machines have to be waited for, and of the jobs that may have tasks there. */
    fun reconcile(nowMicros: Long) {
        if (isReconciled) return
        if (unconfirmedOn.removeIf { holdsNothingUnseen(it, nowMicros) }) unconfirmedChanged = true
        if (unconfirmedOn.isEmpty()) {
            finish(nowMicros)
        } else if (unconfirmedChanged) {
            val shapes = unconfirmedOn.mapTo(HashSet()) { it.shape }
            for (job in cluster.jobs.values) if (job.unconfirmed) job.unconfirmed = shapes.any { it.allows(job.spec) }
            cluster.dirty = true
        }
        unconfirmedChanged = false
    }

    private fun holdsNothingUnseen(machine: Machine, nowMicros: Long): Boolean =
        machine.fencingToken >= cluster.fencingToken || nowMicros >= machine.leaseEndMicros || cluster.machines[machine.name] !== machine

    private fun finish(nowMicros: Long) {
        isReconciled = true
        doneWithUnconfirmedTasks.clear()
        cluster.dirty = true
        val tookMillis = (nowMicros - loadedMicros) / MICROS_PER_MILLI
        log.info("settled {} ms after loading: {} machines, {} jobs", tookMillis, cluster.machines.size, cluster.jobs.size)
    }

    /** Machines still waited for when workers can have found the new leader. */
    fun missingMachines(nowMicros: Long): List<Machine> =
        if (!isReconciled && nowMicros >= loadedMicros + timing.takeoverMicros) unconfirmedOn.toList() else emptyList()

    /** Zones in which most machines on record have reported to this leader: what is silent there is not cut off with all others. */
    fun zonesMostlyReporting(): Set<String> {
        val absent = unconfirmedOn.groupingBy { it.zone }.eachCount()
        val recorded = cluster.machines.values.filter { it.inherited }.groupingBy { it.zone }.eachCount()
        return recorded.filter { (zone, count) -> (absent[zone] ?: 0) * MOSTLY <= count }.keys
    }

    /** Whether no unseen task of [job] can be on a machine: those that cannot hold one need not be waited for. */
    fun isReconciledFor(job: Job): Boolean = isReconciled || !job.unconfirmed

    /** Amounts that unseen tasks of earlier leaders may use, by team: they count in full against the team's limit. */
    fun unconfirmedAmount(team: String, amount: (Job) -> Double): Double {
        if (isReconciled) return 0.0
        val ofOpenJobs = cluster.jobs.values.filter { it.spec.team == team && !isReconciledFor(it) }.sumOf { it.pendingCount * amount(it) }
        val ofDoneGangs = doneWithUnconfirmedTasks.filter { it.spec.team == team }
            .sumOf { (it.spec.taskCount - it.placements.size) * amount(it) }
        return ofOpenJobs + ofDoneGangs
    }

    private companion object {
        /** A zone is mostly heard if no more than one machine in this many is absent. */
        const val MOSTLY = 4
    }
}
