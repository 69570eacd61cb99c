package linemast.scheduling

import linemast.domain.Job
import linemast.domain.Machine
import linemast.leadership.Authority
import org.slf4j.LoggerFactory

/**
 * The time after a change of leader in which tasks of an earlier leader may run that this one has not seen.
 *
 * The machines that may hold such tasks are on record in the store. Each is waited for until it has shown this leader's
 * fencing token, so that it drops older commands, or until its lease is surely over.
 */
internal class Takeover(private val cluster: Cluster, private val graceMicros: Long, private val timing: WorkerTiming) {
    private val log = LoggerFactory.getLogger(Takeover::class.java)

    /** Machines that may still hold unseen tasks of an earlier leader. */
    private val unseenOn = LinkedHashSet<Machine>()
    private var unseenChanged = false

    /** Gangs that were done before this leader had heard from all machines that may hold tasks of theirs. */
    private val doneWithUnseenTasks = ArrayList<Job>()

    /** When the store had been read and reports began to count. */
    private var loadedMicros = 0L

    /** Until when an earlier leader may answer reports in its grace. */
    private var graceEndMicros = 0L

    /** Whether every task that an earlier leader started has been seen or is surely gone. */
    var isSettled = false
        private set

    /** Begins with the machines on record; reports count from [nowMicros] on. */
    fun begin(recorded: List<Machine>, nowMicros: Long) {
        loadedMicros = nowMicros
        graceEndMicros = nowMicros + graceMicros + Authority.drift(graceMicros)
        for (machine in recorded) {
            machine.onRecord = true
            machine.inherited = true
            // An earlier leader in its grace may answer this worker until then.
            machine.leaseEndMicros = graceEndMicros + timing.longestLeaseMicros
            unseenOn += machine
        }
        unseenChanged = true
    }

    /**
     * Every other controller has shown that it knows this fencing token, which ended any lower term of its own: from now
     * on no earlier leader answers a report.
     */
    fun endEarlierGrace(nowMicros: Long) {
        if (nowMicros >= graceEndMicros) return
        graceEndMicros = nowMicros
        val latest = nowMicros + timing.longestLeaseMicros
        cluster.machines.values.forEach { it.leaseEndMicros = minOf(it.leaseEndMicros, latest) }
    }

    /** Until when some leader may answer a worker whose report came at [nowMicros] and showed [fencingToken]. */
    fun answeredUntilMicros(fencingToken: Long, nowMicros: Long): Long =
        if (fencingToken >= cluster.fencingToken) nowMicros else maxOf(nowMicros, graceEndMicros)

    /** [machine] has reported: it holds no unseen task if it has shown this leader's fencing token. */
    fun heardFrom(machine: Machine, nowMicros: Long) {
        if (isSettled || machine.fencingToken < cluster.fencingToken || !unseenOn.remove(machine)) return
        unseenChanged = true
        if (unseenOn.isEmpty()) settle(nowMicros)
    }

    /** A gang is done with the first of its tasks that says so; those that nobody has seen yet may still be there. */
    fun gangFinished(job: Job) {
        if (!isSettledFor(job)) doneWithUnseenTasks += job
    }

    /** Takes stock of which machines have to be waited for, and of the jobs that may have tasks there. */
    fun settle(nowMicros: Long) {
        if (isSettled) return
        if (unseenOn.removeIf { holdsNothingUnseen(it, nowMicros) }) unseenChanged = true
        if (unseenOn.isEmpty()) {
            finish(nowMicros)
        } else if (unseenChanged) {
            val shapes = unseenOn.mapTo(HashSet()) { it.shape }
            for (job in cluster.jobs.values) if (job.unseen) job.unseen = shapes.any { it.allows(job.spec) }
            cluster.dirty = true
        }
        unseenChanged = false
    }

    private fun holdsNothingUnseen(machine: Machine, nowMicros: Long): Boolean =
        machine.fencingToken >= cluster.fencingToken || nowMicros >= machine.leaseEndMicros || cluster.machines[machine.name] !== machine

    private fun finish(nowMicros: Long) {
        isSettled = true
        doneWithUnseenTasks.clear()
        cluster.dirty = true
        val tookMillis = (nowMicros - loadedMicros) / MICROS_PER_MILLI
        log.info("settled {} ms after loading: {} machines, {} jobs", tookMillis, cluster.machines.size, cluster.jobs.size)
    }

    /** Machines still waited for when workers can have found the new leader. */
    fun absentMachines(nowMicros: Long): List<Machine> =
        if (!isSettled && nowMicros >= loadedMicros + timing.takeoverMicros) unseenOn.toList() else emptyList()

    /** Zones in which most machines on record have reported to this leader: what is silent there is not cut off with all others. */
    fun zonesMostlyHeard(): Set<String> {
        val absent = unseenOn.groupingBy { it.zone }.eachCount()
        val recorded = cluster.machines.values.filter { it.inherited }.groupingBy { it.zone }.eachCount()
        return recorded.filter { (zone, count) -> (absent[zone] ?: 0) * MOSTLY <= count }.keys
    }

    /** Whether no unseen task of [job] can be on a machine: those that cannot hold one need not be waited for. */
    fun isSettledFor(job: Job): Boolean = isSettled || !job.unseen

    /** Amounts that unseen tasks of earlier leaders may use, by team: they count in full against the team's limit. */
    fun unseenAmount(team: String, amount: (Job) -> Double): Double {
        if (isSettled) return 0.0
        val ofOpenJobs = cluster.jobs.values.filter { it.spec.team == team && !isSettledFor(it) }.sumOf { it.pendingCount * amount(it) }
        val ofDoneGangs = doneWithUnseenTasks.filter { it.spec.team == team }
            .sumOf { (it.spec.taskCount - it.placements.size) * amount(it) }
        return ofOpenJobs + ofDoneGangs
    }

    private companion object {
        /** A zone is mostly heard if no more than one machine in this many is absent. */
        const val MOSTLY = 4
        const val MICROS_PER_MILLI = 1_000L
    }
}
