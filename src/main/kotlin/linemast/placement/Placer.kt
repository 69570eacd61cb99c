package linemast.placement

import linemast.cloud.MachineType
import linemast.jobs.JobSpec
import linemast.planning.Planner
import linemast.settings.Settings
import linemast.workers.Job
import linemast.workers.Machine
import linemast.workers.Placement
import org.slf4j.LoggerFactory

/**
 * Chooses machines for tasks.
 *
 * Each pass forgets all choices whose command has not left yet and chooses anew: guarantees first, then
 * urgency, then deadline, then age. What a pass chooses leaves with the machine's next report.
 */
class Placer(private val cluster: Cluster, private val settings: Settings) {
    private val log = LoggerFactory.getLogger(Placer::class.java)
    private val scarce = ScarceTypes()

    /** The gang each team submitted last. */
    private val latestGangs = HashMap<String, JobSpec>()
    private val staleMicros = settings.workers.reportMicros * 5 / 2 + REPORT_SLACK_MICROS
    private val guaranteeMicros =
        settings.objectives.filter { it.kind == "guarantee" }.mapNotNull { it.withinMicros }.minOrNull() ?: DEFAULT_GUARANTEE_MICROS
    private val windDownMicros = settings.workers.gangPeerMicros

    /** From the decision to stop a task until another runs in its place: two reports and an image. */
    private val reactionMicros = minOf(settings.workers.reportMicros * 2 + IMAGE_MICROS, guaranteeMicros / 2)

    /** Whether no task of [spec] is ever put on such a machine, although it would fit. */
    fun isClosedTo(type: MachineType, loaners: Boolean, spec: JobSpec): Boolean = scarce.isClosedTo(type, loaners, spec)

    /** Whether its next report can be expected soon. */
    fun isFresh(machine: Machine, nowMicros: Long): Boolean =
        machine.reportedMicros > 0 && nowMicros - machine.reportedMicros < staleMicros

    fun startable(job: Job, nowMicros: Long): Boolean =
        job.opened == Job.Opened.YES && !job.withdrawn && !job.finished &&
            nowMicros >= job.backOffUntilMicros && cluster.isSettledFor(job)

    fun pass(nowMicros: Long) {
        for (machine in cluster.machines.values) {
            machine.placements.values.filter { it.isAssigned }.forEach(cluster::remove)
        }
        cluster.dirty = false
        val jobs = JobOrder.sorted(cluster.jobs.values, cluster.usage, cluster.planner, cluster.wallMicros())
        scarce.learn(jobs.map { it.job.spec }, cluster.types.values, nowMicros)
        for (ranked in jobs) if (ranked.job.spec.isGang) latestGangs[ranked.job.spec.crew] = ranked.job.spec
        val ready = jobs.filter { it.job.pendingCount > 0 && isReady(it.job, nowMicros) }
        for (ranked in jobs) ranked.job.guaranteed = ranked.guaranteed
        begin(ready.map { it.job }, nowMicros)
        // First what is booked on owned machines, then whatever is left over. Within a guarantee there is no such bound:
        // others' bookings would take the room again that tasks were stopped to make.
        for (ranked in ready) {
            val job = ranked.job
            if (job.spec.isGang) {
                placeGang(job, nowMicros)
            } else {
                placeSweep(job, if (ranked.guaranteed) Int.MAX_VALUE else cluster.bookings(job), nowMicros)
            }
        }
        for (ranked in ready) ranked.job.let { if (!it.spec.isGang && it.pendingCount > 0) placeSweep(it, Int.MAX_VALUE, nowMicros) }
        val ending = HashSet<Placement>()
        for (ranked in jobs) {
            val job = ranked.job
            if (ranked.guaranteed && !job.spec.isGang && job.pendingCount > 0 && startable(job, nowMicros)) {
                giveGuarantee(job, jobs, ending, nowMicros)
            }
        }
    }

    /**
     * Jobs that have waited for long without a start go first: no urgency or team limit may starve one. Sweeps
     * begin with a few tasks, gangs have machines gathered for them. Among each other they keep their order, so that
     * those that have missed their aims do not make the next ones miss as well.
     */
    private fun begin(ready: List<Job>, nowMicros: Long) {
        val wall = cluster.wallMicros()
        for (job in ready) {
            val begun = job.doneCount > 0 || job.placements.any { !it.isAssigned }
            // A gang of one task needs nothing gathered, and going first it would only take another one's turn.
            val longWait = if (!job.spec.isGang) BEGIN_MICROS else if (job.spec.pieces > 1) GANG_BEGIN_MICROS else Long.MAX_VALUE
            job.waitsLong = !begun && wall - job.acceptedWallMicros > longWait
        }
        var gathers = true
        // The gang that machines are being gathered for stays the one until it has them.
        for (job in ready.filter { it.waitsLong }.sortedBy { it !== gathering }) {
            if (!job.spec.isGang) {
                placeSweep(job, Int.MAX_VALUE, nowMicros, FIRST_TASKS)
                continue
            }
            placeGang(job, nowMicros)
            // One at a time: two that each hold half of what both need would wait for ever.
            if (gathers && job.placements.isEmpty() && job.heldBy != TEAM_LIMIT && gather(job, nowMicros)) gathers = false
        }
    }

    /** Keeps the machines that will be free first for all tasks of a gang; false if there are not enough. */
    private fun gather(job: Job, nowMicros: Long): Boolean {
        if (gathering !== job) {
            for (machine in cluster.machines.values) if (machine.reservedFor != null && machine.reservedFor === gathering) machine.reservedFor = null
            gathering = job
        }
        val free = usable(job, nowMicros).filter { it.reservedFor == null || it.reservedFor === job }
        val groups = if (job.spec.samePlace) free.groupBy { it.yard }.values else listOf(free)
        val chosen = groups.map { group -> group.sortedBy { freeAfterMicros(it, nowMicros) }.take(job.pendingCount) }
            .filter { it.size == job.pendingCount }
            .minByOrNull { group -> group.maxOf { freeAfterMicros(it, nowMicros) } } ?: return false
        for (machine in free) if (machine !in chosen) machine.reservedFor = null
        for (machine in chosen) {
            machine.reservedFor = job
            machine.reservedUntilMicros = nowMicros + RESERVATION_MICROS
        }
        return true
    }

    /** The gang that machines were gathered for last. */
    private var gathering: Job? = null

    private fun freeAfterMicros(machine: Machine, nowMicros: Long): Long = machine.placements.values.maxOfOrNull { placement ->
        val job = placement.job ?: return Long.MAX_VALUE
        val since = if (placement.isRunning) placement.runningSinceMicros else nowMicros
        (since + cluster.times.estimateMicros(job) - nowMicros).coerceAtLeast(0)
    } ?: 0L

    /**
     * Stops what other teams run beyond their guarantees, and less urgent work, for a job within its own.
     *
     * Nobody is pushed below a guarantee, and work that is itself within one is left alone.
     */
    private fun giveGuarantee(job: Job, ranked: List<JobOrder.Ranked>, ending: MutableSet<Placement>, nowMicros: Long) {
        val spec = job.spec
        val onTheWay = cluster.machines.values.sumOf { machine -> machine.placements.values.count { it.haltedFor === job } }
        var missing = minOf(job.pendingCount, roomInTeam(job)) - onTheWay
        missing -= freeInTime(job, missing, ending, nowMicros)
        if (missing <= 0) return
        val safe = ranked.filter { it.guaranteed }.mapTo(HashSet()) { it.job }
        val beyond = HashMap<String, Double>()
        val victims = usable(job, nowMicros)
            .filter { it.reservedFor == null && !scarce.keepFree(spec, it, cluster.machines.values) }
            .flatMap { it.placements.values }
            .filter { isStoppable(it) && it.job !in safe }
            .sortedByDescending { it.sentMicros }
        for (victim in victims) {
            if (missing <= 0) return
            val other = victim.job?.spec ?: continue
            if (other.crew == spec.crew || other.vcpus < spec.vcpus) continue
            val excess = beyond.getOrPut(other.crew) { cluster.usage.beyondGuarantee(other.crew) }
            if (excess < other.vcpus && other.urgency <= spec.urgency) continue
            beyond[other.crew] = excess - other.vcpus
            halt(victim, "guarantee of ${spec.crew}")
            victim.haltedFor = job
            missing--
        }
    }

    /**
     * Up to [most] tasks that end by themselves soon enough, for a job within its guarantee is the first to get
     * their room. Each counts for one job only, and one that runs longer than estimated for none.
     */
    private fun freeInTime(job: Job, most: Int, ending: MutableSet<Placement>, nowMicros: Long): Int {
        // Late enough that most of the room comes by itself, early enough that a stop still helps.
        val window = guaranteeMicros - (cluster.wallMicros() - job.acceptedWallMicros) - reactionMicros
        if (window <= 0 || most <= 0) return 0
        val inTime = usable(job, nowMicros)
            .filter { !scarce.keepFree(job.spec, it, cluster.machines.values) }
            .flatMap { it.placements.values }
            .filter { it !in ending && endsWithin(it, nowMicros, window) && (it.job?.spec?.vcpus ?: 0.0) >= job.spec.vcpus }
            .take(most)
        ending += inTime
        return inTime.size
    }

    private fun endsWithin(placement: Placement, nowMicros: Long, window: Long): Boolean {
        val job = placement.job ?: return false
        return placement.isRunning && placement.runningSinceMicros + cluster.times.estimateMicros(job) - nowMicros in 0..window
    }

    private fun isReady(job: Job, nowMicros: Long): Boolean {
        if (job.opened == Job.Opened.NO) cluster.open(job)
        if (nowMicros < job.backOffUntilMicros) cluster.dirty = true
        if (startable(job, nowMicros)) return true
        held(
            job,
            when {
                nowMicros < job.backOffUntilMicros -> "has failed ${job.failures} times"
                !cluster.isSettledFor(job) -> "may run unseen"
                else -> "not opened yet"
            },
        )
        return false
    }

    private fun roomInTeam(job: Job): Int = cluster.usage.room(
        job.spec,
        cluster.unseen(job.spec.crew) { it.spec.vcpus } + keptInTeam(job) { it.vcpus },
        cluster.unseen(job.spec.crew) { it.spec.gpus } + keptInTeam(job) { it.gpus },
    )

    /**
     * What the team's limit must leave to its more urgent gangs: to those that nothing else holds back, and to
     * the next one, since stopping tasks for it would lose more than the room left free.
     */
    private fun keptInTeam(job: Job, amount: (JobSpec) -> Double): Double {
        val waiting = cluster.jobs.values.filter { it.spec.isGang && it !== job && it.spec.crew == job.spec.crew && it.heldBy == TEAM_LIMIT }
            .filter { it.pendingCount > 0 && comesBefore(it, job) }
            .sumOf { it.pendingCount * amount(it.spec) }
        if (job.waitsLong) return waiting
        val next = latestGangs[job.spec.crew]?.takeIf { it.urgency < job.spec.urgency } ?: return waiting
        val most = (cluster.usage.team(next.crew)?.cpusMax ?: 0.0) * MOST_KEPT
        return if (next.pieces * next.vcpus > most) waiting else maxOf(waiting, next.pieces * amount(next))
    }

    private fun comesBefore(gang: Job, job: Job): Boolean = when {
        gang.waitsLong && job.waitsLong -> gang.acceptedWallMicros < job.acceptedWallMicros
        gang.waitsLong || job.waitsLong -> gang.waitsLong
        else -> gang.spec.urgency < job.spec.urgency
    }

    /** Starts tasks of a sweep, at most [ownedSlots] side by side on owned machines. */
    private fun placeSweep(job: Job, ownedSlots: Int, nowMicros: Long, most: Int = Int.MAX_VALUE) {
        var left = minOf(roomInTeam(job), job.pendingCount, most)
        if (left == 0) return held(job, TEAM_LIMIT)
        val places = PlaceRules(job)
        var index = job.nextPending(0)
        var ownedLeft = if (ownedSlots == Int.MAX_VALUE) ownedSlots else ownedSlots - job.placements.count { it.machine.owned }
        for (machine in candidates(job, nowMicros)) {
            if (machine.owned && ownedLeft <= 0) continue
            if (scarce.keepFree(job.spec, machine, cluster.machines.values)) continue
            while (left > 0 && index >= 0 && machine.fits(job) && places.allows(machine.yard)) {
                cluster.addAssigned(machine, job, index, cluster.nextAttempt()).spared = job.waitsLong
                places.add(machine.yard)
                left--
                if (machine.owned) ownedLeft--
                index = job.nextPending(index + 1)
            }
            if (left == 0 || index < 0) {
                job.heldBy = null
                return
            }
        }
        if (ownedSlots == Int.MAX_VALUE) held(job, if (usable(job, nowMicros).isEmpty()) "no machine to use" else NO_ROOM)
    }

    private fun placeGang(job: Job, nowMicros: Long) {
        if (job.placements.isEmpty()) {
            job.gangRan = false
            if (job.gangAttempt == 0L || job.gangAttemptUsed) {
                job.gangAttempt = cluster.nextAttempt()
                job.gangAttemptUsed = false
            }
        } else if (job.gangRan || job.placements.any { it.attempt != job.gangAttempt }) {
            return
        }
        val missing = job.pendingCount
        val withinLimit = roomInTeam(job) >= missing
        val machines = candidates(job, nowMicros).filter { "${it.name}#${job.gangAttempt}" !in job.clearedGang }
        // Zones of all machines that could be made free, not only of those that are: stopping others is what helps there.
        val yards = if (job.spec.samePlace) usable(job, nowMicros).map { it.yard }.distinct().map(::setOf) else listOf(null)
        for (yard in yards) {
            val here = machines.filter { yard == null || it.yard in yard }
            if (withinLimit && placeWhole(job, here, missing)) return
            // Nothing is stopped for the team's limit before there is a place to use it.
            if (!withinLimit && here.sumOf { it.roomFor(job.spec) } >= missing) {
                makeRoomInTeam(job, missing)
                return held(job, TEAM_LIMIT)
            }
        }
        val beingMade = yards.any { makeRoom(job, it, missing, nowMicros) }
        held(job, if (!withinLimit) TEAM_LIMIT else if (beingMade) "room being made" else NO_ROOM)
    }

    /** Stops less urgent work of the same team, the youngest first, when only the team's limit is in a gang's way. */
    private fun makeRoomInTeam(job: Job, missing: Int) {
        val running = cluster.jobs.values.filter { it.spec.crew == job.spec.crew }.flatMap { it.placements }
        var needed = missing * job.spec.vcpus - roomInTeam(job) * job.spec.vcpus
        needed -= running.filter { it.haltReason != null }.sumOf { it.job?.spec?.vcpus ?: 0.0 }
        val stoppable = running.filter { placement ->
            val spec = placement.job?.spec ?: return@filter false
            isStoppable(placement) && spec.urgency > job.spec.urgency
        }
        if (stoppable.sumOf { it.job?.spec?.vcpus ?: 0.0 } < needed) return
        for (placement in stoppable.sortedByDescending { it.sentMicros }) {
            if (needed <= EPSILON) return
            halt(placement, "team's limit, for ${job.id}")
            needed -= placement.job?.spec?.vcpus ?: 0.0
        }
    }

    /** Logs once why a job has to wait, each time the reason changes. */
    private fun held(job: Job, reason: String) {
        if (job.heldBy == reason) return
        job.heldBy = reason
        log.debug("{}: held back, {}", job.id, reason)
    }

    /** All missing tasks at once, or none. */
    private fun placeWhole(job: Job, machines: List<Machine>, missing: Int): Boolean {
        val places = PlaceRules(job)
        val chosen = ArrayList<Placement>()
        var index = job.nextPending(0)
        for (machine in machines) {
            while (index >= 0 && machine.fits(job) && places.allows(machine.yard)) {
                chosen += cluster.addAssigned(machine, job, index, job.gangAttempt)
                places.add(machine.yard)
                index = job.nextPending(index + 1)
            }
        }
        if (chosen.size == missing) {
            job.heldBy = null
            return true
        }
        chosen.forEach(cluster::remove)
        return false
    }

    /** Stops less urgent work so that the missing tasks of a gang fit soon; their machines are kept for it. */
    private fun makeRoom(job: Job, yard: Set<String>?, missing: Int, nowMicros: Long): Boolean {
        // What is gathered for it comes free by itself; more would only be kept from others.
        if (job === gathering) return true
        val machines = usable(job, nowMicros).filter { yard == null || it.yard in yard }
        val kept = machines.count { it.reservedFor === job }
        if (kept >= missing) return true
        val window = patienceMicros(job)
        val offers = machines.filter { it.reservedFor == null }
            .mapNotNull { machine -> victims(job, machine, window, nowMicros)?.let { machine to it } }
            .sortedBy { (_, stopped) -> stopped.sumOf { lostWork(it, nowMicros) } }
            .take(missing - kept)
        if (offers.size + kept < missing) return false
        for ((machine, stopped) in offers) {
            machine.reservedFor = job
            machine.reservedUntilMicros = nowMicros + window + RESERVATION_MICROS
            stopped.filter { it.haltReason == null }.forEach { halt(it, "room for ${job.id}") }
        }
        return true
    }

    private fun isStoppable(placement: Placement): Boolean =
        placement.haltReason == null && !placement.isAssigned && !placement.spared && placement.job?.spec?.isGang == false

    /** How long [job] can wait for room and still start when its users expect it. */
    private fun patienceMicros(job: Job): Long {
        val aim = settings.objectives.filter { it.lane == job.spec.lane && it.kind == "wait" }.mapNotNull { it.withinMicros }.minOrNull() ?: 0
        val age = cluster.wallMicros() - job.acceptedWallMicros
        return (minOf(aim, MOST_PATIENCE_MICROS) - age - settings.workers.reportMicros * 2 - IMAGE_MICROS).coerceAtLeast(0)
    }

    /**
     * The tasks to stop on [machine] so that one of [job] fits; null if that is not allowed or not enough.
     *
     * Those that end by themselves within [window] are left to: they have the most work to lose.
     */
    private fun victims(job: Job, machine: Machine, window: Long, nowMicros: Long): List<Placement>? {
        val stoppable = machine.placements.values.filter { other ->
            val spec = other.job?.spec ?: return@filter false
            spec.urgency > job.spec.urgency && !spec.isGang && !other.spared
        }
        var cpus = machine.freeVcpus
        val chosen = ArrayList<Placement>()
        val first = compareBy<Placement>({ !endsWithin(it, nowMicros, window) }, { -it.sentMicros })
        for (placement in stoppable.sortedWith(first)) {
            if (cpus + EPSILON >= job.spec.vcpus) break
            if (!endsWithin(placement, nowMicros, window)) chosen += placement
            cpus += placement.job?.spec?.vcpus ?: 0.0
        }
        return if (cpus + EPSILON >= job.spec.vcpus) chosen else null
    }

    private fun lostWork(placement: Placement, nowMicros: Long): Double {
        val spec = placement.job?.spec ?: return 0.0
        return if (spec.neverSaves) (nowMicros - placement.sentMicros) * spec.vcpus else spec.markMicros * spec.vcpus
    }

    private fun halt(placement: Placement, reason: String) {
        placement.haltReason = reason
        val spec = placement.job?.spec
        placement.haltWindDownMicros = if (spec == null || spec.neverSaves) 0 else spec.markMicros + windDownMicros
        log.info("{} on {}: halted, {}", placement.piece, placement.machine.name, reason)
    }

    /** Machines that may get a task of [job] now, the best first. */
    private fun candidates(job: Job, nowMicros: Long): List<Machine> = usable(job, nowMicros)
        .filter { (it.reservedFor == null || it.reservedFor === job) && it.fits(job) }
        .sortedWith(
            compareBy(
                { it.reservedFor !== job },
                { scarce.isScarceFor(it.type, it.loaners, job.spec) },
                // Within a guarantee there is no time to fetch an image that another machine has.
                { job.guaranteed && job.spec.bundle !in it.bundles },
                { !it.owned },
                // Cheap ones fill first, so that dear ones fall idle and can be returned.
                { if (it.owned) 0.0 else it.pricePerVcpu },
                { it.type.vcpus + it.type.gpus * GPU_WEIGHT },
                { job.spec.bundle !in it.bundles },
                { it.freeVcpus },
            ),
        )

    private fun usable(job: Job, nowMicros: Long): List<Machine> = cluster.machines.values.filter {
        !it.draining && it.onRecord && isFresh(it, nowMicros) &&
            it.hears && it.helm >= cluster.helm && it.allows(job.spec) && it.name !in job.failedOn
    }

    private companion object {
        const val REPORT_SLACK_MICROS = 1_500_000L
        const val RESERVATION_MICROS = 15_000_000L
        const val MOST_PATIENCE_MICROS = 30_000_000L
        const val DEFAULT_GUARANTEE_MICROS = 10_000_000L
        const val IMAGE_MICROS = 2_000_000L
        const val GPU_WEIGHT = 16.0
        const val EPSILON = 1e-6
        const val NO_ROOM = "no room"
        const val FIRST_TASKS = 2
        const val BEGIN_MICROS = 60_000_000L

        /** Later: machines gathered for it stand idle until the last is free, which costs others their turn. */
        const val GANG_BEGIN_MICROS = 150_000_000L

        /** No more of a team's limit than this share is kept for a gang that has not come yet. */
        const val MOST_KEPT = 0.25
        const val TEAM_LIMIT = "its team's limit"
    }
}

/** Counts a job's tasks by zone and tells where one more may start. */
private class PlaceRules(private val job: Job) {
    private val byYard = HashMap<String, Int>()

    init {
        if (job.spec.samePlace || job.spec.apart) job.placements.forEach { add(it.machine.yard) }
    }

    fun add(yard: String) {
        byYard.merge(yard, 1, Int::plus)
    }

    fun allows(yard: String): Boolean {
        if (job.spec.samePlace && byYard.keys.any { it != yard }) return false
        return !job.spec.apart || (byYard[yard] ?: 0) < job.spec.mostInOneYard
    }
}

/** The order in which jobs get what is free. */
object JobOrder {
    class Ranked(val job: Job, val guaranteed: Boolean)

    fun sorted(jobs: Collection<Job>, usage: TeamUsage, planner: Planner, wallMicros: Long): List<Ranked> {
        val claimed = HashMap<String, Double>()
        return jobs.filter { !it.withdrawn && !it.finished }
            .sortedBy { it.acceptedWallMicros }
            .map { job ->
                val cpus = claimed.merge(job.spec.crew, job.spec.pieces * job.spec.vcpus, Double::plus) ?: 0.0
                Ranked(job, cpus <= (usage.team(job.spec.crew)?.cpus ?: 0.0))
            }
            .sortedWith(
                compareBy(
                    { !(it.job.spec.isGang && it.job.placements.isNotEmpty()) },
                    { !it.guaranteed },
                    { it.job.spec.urgency.ordinal },
                    { planner.aims.missed(it.job, wallMicros) },
                    { planner.dueWallMicros(it.job) },
                ),
            )
    }
}
