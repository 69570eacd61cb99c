package linemast.scheduling

import linemast.domain.Job
import linemast.domain.Machine
import linemast.domain.Placement
import linemast.domain.StopReason
import linemast.settings.Objective
import linemast.settings.Settings
import linemast.settings.shortestWaitMicros
import org.slf4j.LoggerFactory

/**
 * Makes room for jobs that come before what runs: stops tasks, or keeps machines until they are free.
 *
 * Whom a task is stopped for is bounded by the protocol's page: more urgent work, or a guarantee.
 */
internal class Preemptor(private val cluster: Cluster, private val settings: Settings) {
    private val log = LoggerFactory.getLogger(Preemptor::class.java)
    private val guaranteeMicros =
        settings.objectives.filterIsInstance<Objective.Guarantee>().minOfOrNull { it.withinMicros } ?: DEFAULT_GUARANTEE_MICROS
    private val shortestWaitMicros = settings.objectives.shortestWaitMicros()
    private val gracePeriodMicros = settings.workers.gangPeerMicros

    /** From the decision to stop a task until another runs in its place: two reports and an image. */
    private val reactionMicros = settings.workers.heartbeatIntervalMicros * 2 + IMAGE_MICROS

    /** The gang that machines were reserved for last. */
    var reservingFor: Job? = null
        private set

    /** Keeps the machines that will be free first for all tasks of a gang; false if there are not enough. */
    fun reserveMachines(job: Job, cycle: SchedulingCycle): Boolean {
        if (reservingFor !== job) {
            for (machine in cluster.machines.values) {
                if (machine.reservedFor != null &&
                    machine.reservedFor === reservingFor
                ) {
                    machine.reservedFor = null
                }
            }
            reservingFor = job
        }
        val free = cycle.machines.of(job).filter { it.reservedFor == null || it.reservedFor === job }
            .map { it to freeAfterMicros(it, cycle.nowMicros) }.sortedBy { it.second }.toList()
        val groups = if (job.spec.sameZone) free.groupBy { it.first.zone }.values else listOf(free)
        val chosen = groups.map { it.take(job.pendingCount) }.filter { it.size == job.pendingCount }
            .minByOrNull { group -> group.maxOf { it.second } }?.mapTo(HashSet()) { it.first } ?: return false
        for ((machine, _) in free) if (machine !in chosen) machine.reservedFor = null
        for (machine in chosen) {
            machine.reservedFor = job
            machine.reservedUntilMicros = cycle.nowMicros + RESERVATION_MICROS
        }
        return true
    }

    private fun freeAfterMicros(machine: Machine, nowMicros: Long): Long = machine.placements.values.maxOfOrNull { placement ->
        val job = placement.job ?: return Long.MAX_VALUE
        val since = if (placement.isRunning) placement.runningSinceMicros else nowMicros
        (since + cluster.times.estimateMicros(job) - nowMicros).coerceAtLeast(0)
    } ?: 0L

    /**
     * Stops what other teams run beyond their guarantees, and less urgent work, for [missing] tasks of a job within its own.
     *
     * Nobody is pushed below a guarantee, and work that is itself within one is left alone.
     */
    fun preemptForQuota(job: Job, missing: Int, ending: MutableSet<Placement>, cycle: SchedulingCycle) {
        val spec = job.spec
        var left = missing - cycle.onTheWayFor(job)
        left -= freeInTime(job, left, ending, cycle)
        if (left <= 0) return
        val victims = cycle.borrowers.filter { mayGiveWay(it, job, cycle) }
            .flatMap { it.placements }
            .filter { isStoppable(it) && it.machine.reservedFor == null && cycle.machines.serves(it.machine, job) }
            .sortedByDescending { it.sentMicros }
        for (victim in victims) {
            if (left <= 0) return
            val other = victim.job ?: continue
            if (!mayGiveWay(other, job, cycle)) continue
            cycle.pushedBack(other.spec.team, other.spec.vcpus)
            stop(victim, StopReason.PreemptedForQuota(spec.team))
            victim.preemptedFor = job
            left--
        }
    }

    private fun mayGiveWay(other: Job, job: Job, cycle: SchedulingCycle): Boolean = other.spec.team != job.spec.team &&
        other.spec.vcpus >= job.spec.vcpus &&
        (other.priority > job.priority || cycle.excessOf(other.spec.team) >= other.spec.vcpus)

    /**
     * Up to [most] tasks that end by themselves soon enough, for a job within its guarantee is the first to get
     * their room. Each counts for one job only, and one that runs longer than estimated for none.
     */
    private fun freeInTime(job: Job, most: Int, ending: MutableSet<Placement>, cycle: SchedulingCycle): Int {
        // Late enough that most of the room comes by itself, early enough that a stop still helps.
        val window = guaranteeMicros - (cluster.wallMicros() - job.readyWallMicros) - reactionMicros
        if (window <= 0 || most <= 0) return 0
        val inTime = cycle.machines.of(job)
            .filter { !cycle.machines.keepFree(job.spec, it) }
            .flatMap { it.placements.values }
            .filter { it !in ending && endsWithin(it, cycle.nowMicros, window) && (it.job?.spec?.vcpus ?: 0.0) >= job.spec.vcpus }
            .take(most)
            .toList()
        ending += inTime
        return inTime.size
    }

    private fun endsWithin(placement: Placement, nowMicros: Long, window: Long): Boolean {
        val job = placement.job ?: return false
        return placement.isRunning && placement.runningSinceMicros + cluster.times.estimateMicros(job) - nowMicros in 0..window
    }

    /** Stops less urgent work of the same team, the youngest first, when only the team's limit is in a gang's way. */
    fun preemptWithinTeam(job: Job, missing: Int, withinLimit: Int, cycle: SchedulingCycle) {
        val team = job.spec.team
        var needed = (missing - withinLimit) * job.spec.vcpus
        needed -= cluster.stopping.sumOf { placement -> placement.job?.spec?.takeIf { it.team == team }?.vcpus ?: 0.0 }
        if (needed <= EPSILON) return
        val stoppable = cycle.jobs.map { it.job }
            .filter { it.spec.team == team && !it.spec.isGang && it.priority > job.priority }
            .flatMap { it.placements }.filter(::isStoppable)
        if (stoppable.sumOf { it.job?.spec?.vcpus ?: 0.0 } < needed) return
        for (placement in stoppable.sortedByDescending { it.sentMicros }) {
            if (needed <= EPSILON) return
            stop(placement, StopReason.PreemptedAtQuotaLimit(job.id))
            needed -= placement.job?.spec?.vcpus ?: 0.0
        }
    }

    /** Stops less urgent work so that the missing tasks of a gang fit soon; their machines are kept for it. */
    fun preemptFor(job: Job, zone: String?, missing: Int, cycle: SchedulingCycle): Boolean {
        // What is reserved for it comes free by itself; more would only be kept from others.
        if (job === reservingFor) return true
        val machines = cycle.machines.of(job).filter { zone == null || it.zone == zone }
        val kept = machines.count { it.reservedFor === job }
        if (kept >= missing) return true
        val window = patienceMicros(job)
        val offers = machines.filter { it.reservedFor == null && couldTake(job, it) }
            .mapNotNull { machine -> victims(job, machine, window, cycle.nowMicros)?.let { machine to it } }
            .sortedBy { (_, stopped) -> stopped.sumOf { lostWork(it, cycle.nowMicros) } }
            .take(missing - kept)
            .toList()
        if (offers.size + kept < missing) return false
        for ((machine, stopped) in offers) {
            machine.reservedFor = job
            machine.reservedUntilMicros = cycle.nowMicros + window + RESERVATION_MICROS
            for (placement in stopped) {
                // What has only been chosen need not be started and stopped again.
                if (placement.isAssigned) {
                    cycle.unplace(placement)
                } else if (placement.stopReason ==
                    null
                ) {
                    stop(placement, StopReason.PreemptedForGang(job.id))
                }
            }
        }
        return true
    }

    private fun isStoppable(placement: Placement): Boolean =
        placement.stopReason == null && !placement.isAssigned && !placement.exemptFromPreemption && placement.job?.spec?.isGang == false

    private fun givesWay(placement: Placement, job: Job): Boolean {
        val other = placement.job ?: return false
        return other.priority > job.priority && !other.spec.isGang && !placement.exemptFromPreemption
    }

    /** Whether stopping all that may be stopped on [machine] would do: asked first, since most often it would not. */
    private fun couldTake(job: Job, machine: Machine): Boolean {
        var cpus = machine.freeVcpus + EPSILON
        if (cpus >= job.spec.vcpus) return true
        for (placement in machine.placements.values) {
            if (!givesWay(placement, job)) continue
            cpus += placement.job?.spec?.vcpus ?: 0.0
            if (cpus >= job.spec.vcpus) return true
        }
        return false
    }

    /** How long [job] can wait for room and still start when its users expect it. */
    private fun patienceMicros(job: Job): Long {
        val age = cluster.wallMicros() - job.readyWallMicros
        val aim = shortestWaitMicros[job.spec.jobClass] ?: 0
        return (minOf(aim, MAX_PATIENCE_MICROS) - age - settings.workers.heartbeatIntervalMicros * 2 - IMAGE_MICROS).coerceAtLeast(0)
    }

    /**
     * The tasks to stop on [machine] so that one of [job] fits; null if that is not allowed or not enough.
     *
     * Those that end by themselves within [window] are left to: they have the most work to lose.
     */
    private fun victims(job: Job, machine: Machine, window: Long, nowMicros: Long): List<Placement>? {
        var cpus = machine.freeVcpus
        val chosen = ArrayList<Placement>()
        val first = compareBy<Placement>({ !endsWithin(it, nowMicros, window) }, { -it.sentMicros })
        for (placement in machine.placements.values.filter { givesWay(it, job) }.sortedWith(first)) {
            if (cpus + EPSILON >= job.spec.vcpus) break
            if (!endsWithin(placement, nowMicros, window)) chosen += placement
            cpus += placement.job?.spec?.vcpus ?: 0.0
        }
        return if (cpus + EPSILON >= job.spec.vcpus) chosen else null
    }

    private fun lostWork(placement: Placement, nowMicros: Long): Double {
        val spec = placement.job?.spec ?: return 0.0
        return if (spec.neverSaves) (nowMicros - placement.sentMicros) * spec.vcpus else spec.checkpointMicros * spec.vcpus
    }

    private fun stop(placement: Placement, reason: StopReason) {
        val spec = placement.job?.spec
        cluster.stop(placement, reason, if (spec == null || spec.neverSaves) 0 else spec.checkpointMicros + gracePeriodMicros)
        log.debug("{} on {}: {}", placement.task, placement.machine.name, reason.description)
    }

    private companion object {
        const val RESERVATION_MICROS = 15_000_000L
        const val MAX_PATIENCE_MICROS = 30_000_000L
        const val DEFAULT_GUARANTEE_MICROS = 10_000_000L
        const val IMAGE_MICROS = 2_000_000L
        const val EPSILON = 1e-6
    }
}
