package linemast.simulation

import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import linemast.settings.Settings

/** Checks the rules of the protocol on a [SimWorld], and collects what breaks them. */
class InvariantChecks(private val world: SimWorld, settings: Settings) {
    private val clock = world.clock
    private val jobs get() = world.jobs
    private val teams = settings.teams.associateBy { it.name }
    private val cancelMicros = settings.workers.cancellationDeadlineMicros

    /** Rules that were broken, in the order in which that was noticed. */
    val violations = ArrayList<Violation>()

    /** From when on no job may be left waiting while a machine that fits has room and its team is under its limit. */
    var calmSinceMicros: Long? = null

    /** Since when a job has been waiting with room for it, while no fault is on. */
    private val waitingSince = HashMap<String, Long>()

    /** Checks what has to hold at any time, again and again. */
    fun begin() {
        world.scope.launch {
            while (true) {
                delay(PERIOD_MILLIS)
                checkCancelledJobsStop()
                checkNoStarvation()
            }
        }
    }

    /** Notes that [job] breaks [invariant] now. */
    fun report(invariant: Invariant, job: String, detail: String) {
        violations += Violation(invariant, job, clock.nowMicros(), detail)
    }

    /** Checks the start of [task] on [worker], which does not run it yet. */
    fun checkStart(worker: SimWorker, task: SimWorker.Task) {
        val job = jobs.getValue(task.job)
        val others = world.liveTasks().filter { it.task.job == task.job }.toList()
        checkStartsAfterDependencies(job)
        checkTaskRunsOnce(worker, task, others)
        checkQuota(job)
        checkPlacement(worker, job, others)
        job.cancelledMicros?.let {
            if (clock.nowMicros() - it > cancelMicros) report(Invariant.CANCELLED_JOB_STOPS, job.id, "started on ${worker.name}")
        }
    }

    private fun checkStartsAfterDependencies(job: SimJob) {
        for (id in job.dependencies) {
            val isDone = world.isCompleted(jobs.getValue(id)) && world.store.valueOf("j/$id")?.text("verdict") == "done"
            if (!isDone) report(Invariant.STARTS_AFTER_DEPENDENCIES, job.id, "started before $id was done")
        }
    }

    private fun checkTaskRunsOnce(worker: SimWorker, task: SimWorker.Task, others: List<LiveTask>) {
        val other = others.find { it.task.index == task.index && (it.worker !== worker || it.task.attempt != task.attempt) } ?: return
        report(Invariant.TASK_RUNS_ONCE, task.job, "task ${task.index} on ${worker.name} while it runs on ${other.worker.name}")
    }

    private fun checkQuota(job: SimJob) {
        val used = vcpusOfTeam(job.team, world.liveTasks()) + job.vcpus
        if (used > teams.getValue(job.team).maxVcpus + ROUNDING) report(Invariant.QUOTA, job.id, "${job.team} uses $used vcpus")
    }

    private fun checkPlacement(worker: SimWorker, job: SimJob, others: List<LiveTask>) {
        if (worker.spot && !job.spot) report(Invariant.PLACEMENT, job.id, "on the spot machine ${worker.name}")
        if (job.sameZone && others.any { it.worker.zone != worker.zone }) report(Invariant.PLACEMENT, job.id, "in two zones")
        val here = others.count { it.worker.zone == worker.zone } + 1
        if (job.spread && here > (job.taskCount + 1) / 2) report(Invariant.PLACEMENT, job.id, "$here tasks in zone ${worker.zone}")
    }

    private fun checkCancelledJobsStop() {
        for ((worker, task) in world.liveTasks()) {
            val acknowledged = jobs.getValue(task.job).cancelledMicros ?: continue
            if (clock.nowMicros() - acknowledged > cancelMicros) {
                report(Invariant.CANCELLED_JOB_STOPS, task.job, "task ${task.index} still on ${worker.name}")
            }
        }
    }

    /** Checks a [status] that a controller gives of [job], asked for at [sentMicros]. */
    fun checkStatus(job: SimJob, status: String, sentMicros: Long) {
        val isTerminal = status in TERMINAL_STATUSES
        val last = job.acknowledgedStatus
        // The answer to a question asked before the end was acknowledged may be on its way; one end never follows another.
        val isLater = sentMicros > job.acknowledgedMicros || isTerminal
        if (last != null && status != last && isLater) {
            report(Invariant.ACKNOWLEDGED_STATUS_IS_FINAL, job.id, "was $last, is $status")
        }
        if (!isTerminal) return checkDependentsAreCancelled(job, status, sentMicros)
        if (status == "withdrawn" && !job.cancelAsked && ancestors(job).none { it.cancelAsked }) {
            report(Invariant.ACKNOWLEDGED_STATUS_IS_FINAL, job.id, "cancelled by nobody")
        }
        if (status == "done" && !world.isCompleted(job)) report(Invariant.DONE_MEANS_ALL_TASKS, job.id, "has tasks that are not done")
    }

    private fun checkDependentsAreCancelled(job: SimJob, status: String, sentMicros: Long) {
        val since = ancestors(job).mapNotNull { it.cancelledMicros }.minOrNull() ?: return
        if (sentMicros - since > cancelMicros) report(Invariant.DEPENDENTS_ARE_CANCELLED, job.id, "is $status")
    }

    /** Jobs that [job] depends on, directly or through others. */
    private fun ancestors(job: SimJob): Set<SimJob> {
        val found = LinkedHashSet<SimJob>()
        val next = ArrayDeque(job.dependencies)
        while (next.isNotEmpty()) jobs.getValue(next.removeFirst()).let { if (found.add(it)) next += it.dependencies }
        return found
    }

    private fun checkNoStarvation() {
        val calm = calmSinceMicros ?: return
        val now = clock.nowMicros()
        for (job in jobs.values) {
            if (!isPending(job) || !couldStart(job)) {
                waitingSince.remove(job.id)
                continue
            }
            val since = waitingSince.getOrPut(job.id) { maxOf(now, calm) }
            if (now - since > MAX_WAIT_MICROS) {
                report(Invariant.NO_STARVATION, job.id, "has waited for ${(now - since) / 1_000} ms")
                waitingSince[job.id] = now
            }
        }
    }

    private fun isPending(job: SimJob) =
        job.accepted && job.acknowledgedStatus == null && job.dependencies.all { world.isCompleted(jobs.getValue(it)) }

    private fun couldStart(job: SimJob): Boolean {
        val live = world.liveTasks().toList()
        val own = live.filter { it.task.job == job.id }
        val open = (0 until job.taskCount).count { index -> "${job.id}/$index" !in world.completed && own.none { it.task.index == index } }
        if (open == 0 || (job.gang && own.isNotEmpty())) return false
        val wanted = if (job.gang) job.taskCount else 1
        val used = vcpusOfTeam(job.team, live.asSequence())
        if (used + wanted * job.vcpus > teams.getValue(job.team).maxVcpus) return false
        val room = roomByZone(job, boundTo = own.map { it.worker.zone }.toSet())
        return if (job.sameZone) room.values.any { it >= wanted } else room.values.sum() >= wanted
    }

    /** How many tasks of [job] fit on the machines of each zone that it may use. */
    private fun roomByZone(job: SimJob, boundTo: Set<String>): Map<String, Int> = world.workers.values
        .filter { (job.spot || !it.spot) && (!job.sameZone || boundTo.isEmpty() || it.zone in boundTo) }
        .groupBy { it.zone }
        .mapValues { (_, machines) -> machines.sumOf { ((it.type.vcpus - usedOn(it)) / job.vcpus).toInt() } }

    private fun vcpusOfTeam(team: String, live: Sequence<LiveTask>): Double =
        live.map { jobs.getValue(it.task.job) }.filter { it.team == team }.sumOf { it.vcpus }

    private fun usedOn(machine: SimWorker) = machine.tasks.values.filter { it.status != "ended" }.sumOf { jobs.getValue(it.job).vcpus }

    private companion object {
        const val PERIOD_MILLIS = 500L
        const val MAX_WAIT_MICROS = 90_000_000L
        const val ROUNDING = 1e-6
    }
}
