package linemast.scheduling

import linemast.admission.StartTurns
import linemast.domain.Job
import linemast.domain.JobSpec
import linemast.domain.Machine
import linemast.domain.MachineType
import linemast.domain.Placement
import linemast.settings.Settings
import org.slf4j.LoggerFactory

/**
 * Chooses machines for tasks.
 *
 * Each pass forgets all choices whose command has not left yet and chooses anew: guarantees first, then
 * priority, then deadline, then age. What a pass chooses leaves with the machine's next report.
 */
internal class Placer(private val cluster: Cluster, settings: Settings, private val startTurns: StartTurns? = null) {
    private val log = LoggerFactory.getLogger(Placer::class.java)
    private val scarce = ScarceTypes()
    private val roomMaker = RoomMaker(cluster, settings)

    /** The gang each team submitted last. */
    private val latestGangs = HashMap<String, JobSpec>()
    private val reportMicros = settings.workers.reportMicros
    private val staleMicros = settings.workers.reportMicros * 5 / 2 + REPORT_SLACK_MICROS

    /** Whether no task of [spec] is ever put on such a machine, although it would fit. */
    fun isClosedTo(type: MachineType, spot: Boolean, spec: JobSpec): Boolean = scarce.isClosedTo(type, spot, spec)

    /** Whether its next report can be expected soon. */
    fun isFresh(machine: Machine, nowMicros: Long): Boolean = machine.reportedMicros > 0 && nowMicros - machine.reportedMicros < staleMicros

    fun startable(job: Job, nowMicros: Long): Boolean = job.opened == Job.Opened.YES &&
        !job.cancelled &&
        !job.finished &&
        nowMicros >= job.backOffUntilMicros &&
        cluster.takeover.isSettledFor(job)

    fun pass(nowMicros: Long) {
        cluster.forgetChoices()
        cluster.dirty = false
        val jobs = JobOrder.sorted(cluster.jobs.values, cluster.usage, cluster.planner, cluster.wallMicros())
        scarce.learn(jobs.map { it.job.spec }, cluster.types.values, nowMicros)
        for (ranked in jobs) {
            ranked.job.guaranteed = ranked.guaranteed
            if (ranked.job.spec.isGang) latestGangs[ranked.job.spec.team] = ranked.job.spec
        }
        val ready = jobs.filter { it.job.pendingCount > 0 && isReady(it.job, nowMicros) }.map { it.job }
        if (ready.isEmpty()) return
        val machines = UsableMachines(cluster.machines.values.filter { isUsable(it, nowMicros) }, scarce) { turn(it, nowMicros) }
        val pass = Pass(nowMicros, jobs, machines, cluster)
        begin(ready, pass)
        // First what is booked on owned machines, then whatever is left over. Within a guarantee there is no such bound:
        // others' bookings would take the room again that tasks were stopped to make.
        for (job in ready) {
            if (job.spec.isGang) {
                placeGang(job, pass)
            } else {
                placeArray(job, if (job.guaranteed) Int.MAX_VALUE else cluster.bookings(job), pass)
            }
        }
        placeLeftOver(ready, pass)
        val ending = HashSet<Placement>()
        for (job in ready) {
            if (job.guaranteed && !job.spec.isGang && job.pendingCount > 0) {
                roomMaker.giveGuarantee(job, minOf(job.pendingCount, roomInTeam(job, pass)), ending, pass)
            }
        }
    }

    /** Arrays take what is free whatever was booked: first machines that no other job has the image for, then any. */
    private fun placeLeftOver(ready: List<Job>, pass: Pass) {
        val arrays = ready.filter { !it.spec.isGang }
        for (job in arrays) if (job.pendingCount > 0) placeArray(job, Int.MAX_VALUE, pass)
        pass.heedsImages = false
        for (job in arrays) if (job.pendingCount > 0) placeArray(job, Int.MAX_VALUE, pass)
    }

    /** By quarters of the time between reports, so that within one the usual order holds. */
    private fun turn(machine: Machine, nowMicros: Long): Int =
        -((nowMicros - machine.reportedMicros) * TURNS_PER_REPORT / reportMicros).toInt()

    private fun isUsable(machine: Machine, nowMicros: Long): Boolean = !machine.draining &&
        machine.onRecord &&
        isFresh(machine, nowMicros) &&
        machine.hears &&
        machine.fencingToken >= cluster.fencingToken

    /**
     * Jobs that have waited for long without a start go first: no priority or team limit may starve one. Arrays
     * begin with a few tasks, gangs have machines reserved for them. Among each other they keep their order, so that
     * those that have missed their aims do not make the next ones miss as well.
     */
    private fun begin(ready: List<Job>, pass: Pass) {
        val wall = cluster.wallMicros()
        for (job in ready) {
            val begun = job.doneCount > 0 || job.placements.any { !it.isAssigned }
            val age = wall - job.readyWallMicros
            job.waitsLong = !begun && if (job.spec.isGang) isTurnOfGang(job, age) else age > BEGIN_MICROS
        }
        var mayReserve = true
        // The gang that machines are being reserved for stays the one until it has them.
        for (job in inTurn(ready.filter { it.waitsLong }).sortedBy { it !== roomMaker.reservingFor }) {
            if (!job.spec.isGang) {
                placeArray(job, Int.MAX_VALUE, pass, FIRST_TASKS)
                if (job.placements.isNotEmpty()) startTurns?.served(job)
                continue
            }
            placeGang(job, pass)
            // One at a time: two that each hold half of what both need would wait for ever.
            if (mayReserve &&
                job.placements.isEmpty() &&
                job.blockedBy != TEAM_LIMIT &&
                roomMaker.reserveMachines(job, pass)
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
            job.waitsLong = job in chosen
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
                nowMicros < job.backOffUntilMicros -> "has failed ${job.failures} times"
                !cluster.takeover.isSettledFor(job) -> "may run unseen"
                else -> "not opened yet"
            },
        )
        return false
    }

    private fun roomInTeam(job: Job, pass: Pass): Int = pass.roomInTeam(job, if (job.waitsLong) null else keptForNextGang(job.spec))

    /** What a team's limit leaves to its next gang: stopping tasks for it would lose more than the room left free. */
    private fun keptForNextGang(spec: JobSpec): Pass.KeptRoom? {
        val next = latestGangs[spec.team]?.takeIf { it.priority < spec.priority } ?: return null
        val most = (cluster.usage.team(next.team)?.cpusMax ?: 0.0) * MOST_KEPT
        return if (next.taskCount * next.vcpus > most) null else Pass.KeptRoom(next.taskCount * next.vcpus, next.taskCount * next.gpus)
    }

    /** Starts tasks of an array, at most [ownedSlots] side by side on owned machines. */
    private fun placeArray(job: Job, ownedSlots: Int, pass: Pass, most: Int = Int.MAX_VALUE) {
        var left = minOf(roomInTeam(job, pass), job.pendingCount, most)
        if (left == 0) return blocked(job, TEAM_LIMIT)
        val places = PlaceRules(job)
        var ownedLeft = if (ownedSlots == Int.MAX_VALUE) ownedSlots else ownedSlots - job.placements.count { it.machine.owned }
        for (machine in pass.machines.candidates(job)) {
            if (machine.owned && ownedLeft <= 0) continue
            if (pass.machines.keepFree(job.spec, machine) || pass.isLeftToAnother(job, machine)) continue
            val placed = fill(machine, job, left, places, pass)
            left -= placed
            if (machine.owned) ownedLeft -= placed
            if (left == 0 || job.nextPending(0) < 0) {
                job.blockedBy = null
                return
            }
        }
        if (ownedSlots == Int.MAX_VALUE) blocked(job, if (pass.machines.of(job).none()) "no machine to use" else NO_ROOM)
    }

    /** Places up to [most] tasks of an array on [machine]; how many. */
    private fun fill(machine: Machine, job: Job, most: Int, places: PlaceRules, pass: Pass): Int {
        var placed = 0
        var index = job.nextPending(0)
        while (placed < most && index >= 0 && machine.fits(job) && places.allows(machine.zone)) {
            pass.place(cluster.addAssigned(machine, job, index, cluster.attemptNumbers.next())).spared = job.waitsLong
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

    private fun placeGang(job: Job, pass: Pass) {
        if (!beginAttempt(job)) return
        val missing = job.pendingCount
        val limit = roomInTeam(job, pass)
        val withinLimit = limit >= missing
        // Zones of all machines that could be made free, not only of those that are: stopping others is what helps there.
        val zones = if (job.spec.sameZone && job.spec.taskCount > 1) pass.machines.zonesOf(job) else listOf(null)
        for (zone in zones) {
            val here = pass.machines.candidates(job).filter { (zone == null || it.zone == zone) && !job.isAcknowledgedOn(it) }
            if (withinLimit && placeWhole(job, here, missing, pass)) return
            // Nothing is stopped for the team's limit before there is a place to use it.
            if (!withinLimit && here.sumOf { it.roomFor(job.spec) } >= missing) {
                roomMaker.makeRoomInTeam(job, missing, limit, pass)
                return blocked(job, TEAM_LIMIT)
            }
        }
        val isRoomBeingMade = zones.any { roomMaker.makeRoom(job, it, missing, pass) }
        val reason = if (isRoomBeingMade) "room being made" else NO_ROOM
        blocked(job, if (withinLimit) reason else TEAM_LIMIT)
    }

    /** Logs once why a job has to wait, each time the reason changes. */
    private fun blocked(job: Job, reason: String) {
        if (job.blockedBy == reason) return
        job.blockedBy = reason
        log.debug("{}: held back, {}", job.id, reason)
    }

    /** All missing tasks at once, or none. */
    private fun placeWhole(job: Job, machines: Sequence<Machine>, missing: Int, pass: Pass): Boolean {
        val places = PlaceRules(job)
        val chosen = ArrayList<Placement>()
        var index = job.nextPending(0)
        for (machine in machines) {
            while (index >= 0 && machine.fits(job) && places.allows(machine.zone)) {
                chosen += pass.place(cluster.addAssigned(machine, job, index, job.gangAttempt))
                places.add(machine.zone)
                index = job.nextPending(index + 1)
            }
            if (index < 0) break
        }
        if (chosen.size == missing) {
            job.blockedBy = null
            return true
        }
        chosen.forEach(pass::unplace)
        return false
    }

    companion object {
        private const val TURNS_PER_REPORT = 4

        /** Why a job waits that nothing but its team's limit holds back. */
        const val TEAM_LIMIT = "its team's limit"
        private const val REPORT_SLACK_MICROS = 1_500_000L
        private const val NO_ROOM = "no room"
        private const val FIRST_TASKS = 2
        private const val BEGIN_MICROS = 60_000_000L

        /** Later: machines reserved for it stand idle until the last is free, which costs others their turn. */
        private const val GANG_BEGIN_MICROS = 150_000_000L
        private const val GANG_LATE_MICROS = 240_000_000L
        private const val GANG_STARVED_MICROS = 600_000_000L

        /** No more of a team's limit than this share is kept for a gang that has not come yet. */
        private const val MOST_KEPT = 0.25
    }
}
