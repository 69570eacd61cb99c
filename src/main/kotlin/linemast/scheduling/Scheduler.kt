package linemast.scheduling

import linemast.admission.FlowRoundRobin
import linemast.domain.Job
import linemast.domain.JobSpec
import linemast.domain.Machine
import linemast.domain.MachineType
import linemast.domain.PendingReason
import linemast.domain.Placement
import linemast.settings.Settings
import org.slf4j.LoggerFactory

/**
 * Chooses machines for tasks.
 *
 * Each pass forgets all choices whose command has not left yet and chooses anew: guarantees first, then
 * priority, then deadline, then age. What a pass chooses leaves with the machine's next report.
 */
internal class Scheduler(private val cluster: Cluster, settings: Settings, private val startTurns: FlowRoundRobin? = null) {
    private val log = LoggerFactory.getLogger(Scheduler::class.java)
    private val scarce = ScarceTypes()
    private val preemptionTiming = PreemptionTiming(settings)
    private val completionEstimates = CompletionEstimates(cluster.times)
    private val taskPreemption = TaskPreemption(cluster, preemptionTiming.gracePeriodMicros)
    private val reservation = GangReservation(cluster, completionEstimates)
    private val gangPreemption = GangPreemption(cluster, preemptionTiming, completionEstimates, taskPreemption, reservation)

    /** The gang each team submitted last. */
    private val latestGangs = HashMap<String, JobSpec>()
    private val heartbeatIntervalMicros = settings.workers.heartbeatIntervalMicros
    private val staleMicros = settings.workers.heartbeatIntervalMicros * 5 / 2 + REPORT_SLACK_MICROS

    /** Whether no task of [spec] is ever put on such a machine, although it would fit. */
    fun isClosedTo(type: MachineType, spot: Boolean, spec: JobSpec): Boolean = scarce.isClosedTo(type, spot, spec)

    /** Whether its next report can be expected soon. */
    fun isFresh(machine: Machine, nowMicros: Long): Boolean =
        machine.lastHeartbeatMicros > 0 && nowMicros - machine.lastHeartbeatMicros < staleMicros

    fun startable(job: Job, nowMicros: Long): Boolean = job.opened == Job.Opened.YES &&
        !job.cancelled &&
        !job.finished &&
        nowMicros >= job.backOffUntilMicros &&
        cluster.failover.isReconciledFor(job)

    fun cycle(nowMicros: Long) {
        cluster.forgetChoices()
        cluster.dirty = false
        val jobs = JobRanking.sorted(cluster.jobs.values, cluster.quota, cluster.planner, cluster.wallMicros())
        scarce.learn(jobs.map { it.job.spec }, cluster.types.values, nowMicros)
        for (ranked in jobs) {
            ranked.job.withinQuota = ranked.withinQuota
            if (ranked.job.spec.isGang) latestGangs[ranked.job.spec.team] = ranked.job.spec
        }
        val ready = jobs.filter { it.job.pendingCount > 0 && isReady(it.job, nowMicros) }.map { it.job }
        if (ready.isEmpty()) return
        val machines = CandidateMachines(cluster.machines.values.filter { isUsable(it, nowMicros) }, scarce) { turn(it, nowMicros) }
        val cycle = SchedulingCycle(nowMicros, jobs, machines, cluster)
        begin(ready, cycle)
        // First what is booked on owned machines, then whatever is left over. Within a guarantee there is no such bound:
        // others' bookings would take the room again that tasks were stopped to make.
        for (job in ready) {
            if (job.spec.isGang) {
                placeGang(job, cycle)
            } else {
                placeArray(job, if (job.withinQuota) Int.MAX_VALUE else cluster.bookings(job), cycle)
            }
        }
        placeLeftOver(ready, cycle)
        val quotaPreemption = QuotaPreemption(cycle, cluster, preemptionTiming, completionEstimates, taskPreemption)
        for (job in ready) {
            if (job.withinQuota && !job.spec.isGang && job.pendingCount > 0) {
                quotaPreemption.preemptFor(job, minOf(job.pendingCount, quotaHeadroom(job, cycle)))
            }
        }
    }

    /** Arrays take what is free whatever was booked: first machines that no other job has the image for, then any. */
    private fun placeLeftOver(ready: List<Job>, cycle: SchedulingCycle) {
        val arrays = ready.filter { !it.spec.isGang }
        for (job in arrays) if (job.pendingCount > 0) placeArray(job, Int.MAX_VALUE, cycle)
        cycle.heedsImages = false
        for (job in arrays) if (job.pendingCount > 0) placeArray(job, Int.MAX_VALUE, cycle)
    }

    /** By quarters of the time between reports, so that within one the usual order holds. */
    private fun turn(machine: Machine, nowMicros: Long): Int =
        -((nowMicros - machine.lastHeartbeatMicros) * TURNS_PER_REPORT / heartbeatIntervalMicros).toInt()

    private fun isUsable(machine: Machine, nowMicros: Long): Boolean = !machine.draining &&
        machine.isRegistered &&
        isFresh(machine, nowMicros) &&
        machine.acknowledgesResponses &&
        machine.fencingToken >= cluster.fencingToken

    /**
     * Jobs that have waited for long without a start go first: no priority or team limit may starve one. Arrays
     * begin with a few tasks, gangs have machines reserved for them. Among each other they keep their order, so that
     * those that have missed their aims do not make the next ones miss as well.
     */
    private fun begin(ready: List<Job>, cycle: SchedulingCycle) {
        val wall = cluster.wallMicros()
        for (job in ready) {
            val begun = job.doneCount > 0 || job.placements.any { !it.isAssigned }
            val age = wall - job.readyWallMicros
            job.isStarving = !begun && if (job.spec.isGang) isTurnOfGang(job, age) else age > BEGIN_MICROS
        }
        var mayReserve = true
        // The gang that machines are being reserved for stays the one until it has them.
        for (job in inTurn(ready.filter { it.isStarving }).sortedBy { it !== reservation.gang }) {
            if (!job.spec.isGang) {
                placeArray(job, Int.MAX_VALUE, cycle, FIRST_TASKS)
                if (job.placements.isNotEmpty()) startTurns?.served(job)
                continue
            }
            placeGang(job, cycle)
            // One at a time: two that each hold half of what both need would wait for ever.
            if (mayReserve &&
                job.placements.isEmpty() &&
                job.pendingReason != PendingReason.QuotaLimit &&
                reservation.reserve(job, cycle)
            ) {
                mayReserve = false
            }
        }
    }

    /** Arrays take turns by their flow, so that a flood of them does not keep out all others; gangs keep their places. */
    private fun inTurn(waiting: List<Job>): List<Job> {
        val turns = startTurns ?: return waiting
        val arrays = turns.choose(waiting.filter { !it.spec.isGang })
        val chosen = arrays.toSet()
        val next = arrays.iterator()
        return waiting.mapNotNull { job ->
            if (job.spec.isGang) return@mapNotNull job
            job.isStarving = job in chosen
            if (next.hasNext()) next.next() else null
        }
    }

    /**
     * When more gangs come than there is room for, the longest waiting first would make all of them late. So those that
     * have waited too long already let the others begin in time, and have their turn again before they starve.
     */
    private fun isTurnOfGang(job: Job, age: Long): Boolean {
        // A gang of one task needs nothing reserved, and going first it would only take another one's turn.
        if (job.spec.taskCount == 1) return false
        return age in GANG_BEGIN_MICROS..GANG_LATE_MICROS || age > GANG_STARVED_MICROS
    }

    private fun isReady(job: Job, nowMicros: Long): Boolean {
        if (job.opened == Job.Opened.NO) cluster.open(job)
        if (nowMicros < job.backOffUntilMicros) cluster.dirty = true
        if (startable(job, nowMicros)) return true
        blocked(
            job,
            when {
                nowMicros < job.backOffUntilMicros -> PendingReason.BackOff(job.failures)
                !cluster.failover.isReconciledFor(job) -> PendingReason.UnconfirmedTasks
                else -> PendingReason.NotOpened
            },
        )
        return false
    }

    private fun quotaHeadroom(job: Job, cycle: SchedulingCycle): Int =
        cycle.quotaHeadroom(job, if (job.isStarving) null else keptForNextGang(job.spec))

    /** What a team's limit leaves to its next gang: stopping tasks for it would lose more than the room left free. */
    private fun keptForNextGang(spec: JobSpec): SchedulingCycle.ReservedCapacity? {
        val next = latestGangs[spec.team]?.takeIf { it.priority < spec.priority } ?: return null
        val most = (cluster.quota.team(next.team)?.cpusMax ?: 0.0) * MAX_KEPT
        return if (next.taskCount * next.vcpus >
            most
        ) {
            null
        } else {
            SchedulingCycle.ReservedCapacity(next.taskCount * next.vcpus, next.taskCount * next.gpus)
        }
    }

    /** Starts tasks of an array, at most [baselineSlots] side by side on owned machines. */
    private fun placeArray(job: Job, baselineSlots: Int, cycle: SchedulingCycle, most: Int = Int.MAX_VALUE) {
        var left = minOf(quotaHeadroom(job, cycle), job.pendingCount, most)
        if (left == 0) return blocked(job, PendingReason.QuotaLimit)
        val places = SpreadConstraint(job)
        var baselineLeft = if (baselineSlots ==
            Int.MAX_VALUE
        ) {
            baselineSlots
        } else {
            baselineSlots - job.placements.count { it.machine.baseline }
        }
        for (machine in cycle.machines.candidates(job)) {
            if (machine.baseline && baselineLeft <= 0) continue
            if (cycle.machines.keepFree(job.spec, machine) || cycle.isLeftToAnother(job, machine)) continue
            val placed = fill(machine, job, left, places, cycle)
            left -= placed
            if (machine.baseline) baselineLeft -= placed
            if (left == 0 || job.nextPending(0) < 0) {
                job.pendingReason = null
                return
            }
        }
        if (baselineSlots ==
            Int.MAX_VALUE
        ) {
            blocked(job, if (cycle.machines.of(job).none()) PendingReason.NoFeasibleMachine else PendingReason.NoFreeCapacity)
        }
    }

    /** Places up to [most] tasks of an array on [machine]; how many. */
    private fun fill(machine: Machine, job: Job, most: Int, places: SpreadConstraint, cycle: SchedulingCycle): Int {
        var placed = 0
        var index = job.nextPending(0)
        while (placed < most && index >= 0 && machine.fits(job) && places.allows(machine.zone)) {
            cycle.place(cluster.addAssigned(machine, job, index, cluster.attemptNumbers.next())).exemptFromPreemption = job.isStarving
            places.add(machine.zone)
            placed++
            index = job.nextPending(index + 1)
        }
        return placed
    }

    /** Chooses an attempt number for a gang without placements; false if the present attempt cannot be completed any more. */
    private fun beginAttempt(job: Job): Boolean {
        if (job.placements.isNotEmpty()) return !job.gangRan && job.placements.all { it.attempt == job.gangAttempt }
        job.gangRan = false
        if (job.gangAttempt == 0L || job.gangAttemptUsed) {
            // Kept until the gang can start as a whole, however many passes that takes.
            job.gangAttempt = cluster.attemptNumbers.next().also(cluster.attemptNumbers::use)
            job.gangAttemptUsed = false
        }
        return true
    }

    private fun placeGang(job: Job, cycle: SchedulingCycle) {
        if (!beginAttempt(job)) return
        val missing = job.pendingCount
        val limit = quotaHeadroom(job, cycle)
        val withinLimit = limit >= missing
        // Zones of all machines that could be made free, not only of those that are: stopping others is what helps there.
        val zones = if (job.spec.sameZone && job.spec.taskCount > 1) cycle.machines.zonesOf(job) else listOf(null)
        for (zone in zones) {
            val here = cycle.machines.candidates(job).filter { (zone == null || it.zone == zone) && !job.isAcknowledgedOn(it) }
            if (withinLimit && placeWhole(job, here, missing, cycle)) return
            // Nothing is stopped for the team's limit before there is a place to use it.
            if (!withinLimit && here.sumOf { it.freeSlots(job.spec) } >= missing) {
                gangPreemption.preemptAtQuotaLimit(job, missing, limit, cycle)
                return blocked(job, PendingReason.QuotaLimit)
            }
        }
        val isRoomBeingMade = zones.any { gangPreemption.preemptForCapacity(job, it, missing, cycle) }
        val reason = if (isRoomBeingMade) PendingReason.PreemptionInProgress else PendingReason.NoFreeCapacity
        blocked(job, if (withinLimit) reason else PendingReason.QuotaLimit)
    }

    /** Logs once why a job has to wait, each time the reason changes. */
    private fun blocked(job: Job, reason: PendingReason) {
        if (job.pendingReason == reason) return
        job.pendingReason = reason
        log.debug("{}: pending: {}", job.id, reason.description)
    }

    /** All missing tasks at once, or none. */
    private fun placeWhole(job: Job, machines: Sequence<Machine>, missing: Int, cycle: SchedulingCycle): Boolean {
        val places = SpreadConstraint(job)
        val chosen = ArrayList<Placement>()
        var index = job.nextPending(0)
        for (machine in machines) {
            while (index >= 0 && machine.fits(job) && places.allows(machine.zone)) {
                chosen += cycle.place(cluster.addAssigned(machine, job, index, job.gangAttempt))
                places.add(machine.zone)
                index = job.nextPending(index + 1)
            }
            if (index < 0) break
        }
        if (chosen.size == missing) {
            job.pendingReason = null
            return true
        }
        chosen.forEach(cycle::unplace)
        return false
    }

    private companion object {
        const val TURNS_PER_REPORT = 4

        const val REPORT_SLACK_MICROS = 1_500_000L
        const val FIRST_TASKS = 2
        const val BEGIN_MICROS = 60_000_000L

        /** Later: machines reserved for it stand idle until the last is free, which costs others their turn. */
        const val GANG_BEGIN_MICROS = 150_000_000L
        const val GANG_LATE_MICROS = 240_000_000L
        const val GANG_STARVED_MICROS = 600_000_000L

        /** No more of a team's limit than this share is kept for a gang that has not come yet. */
        const val MAX_KEPT = 0.25
    }
}
