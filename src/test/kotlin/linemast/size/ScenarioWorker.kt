package linemast.size

import linemast.domain.Command
import linemast.domain.EndCause
import linemast.domain.Heartbeat
import linemast.domain.MachineType
import linemast.domain.TaskAttempt
import linemast.domain.TaskId
import linemast.domain.TaskState
import linemast.domain.TaskStatus

/** A task on a machine of a [FleetScenario]. */
internal class ScenarioTask(private val scenario: FleetScenario, val worker: ScenarioWorker, val task: TaskId, val attempt: Long) {
    var status = TaskState.FETCHING
    var cause: EndCause? = null

    fun end(why: EndCause = EndCause.STOPPED) {
        if (status == TaskState.ENDED) return
        if (why != EndCause.COMPLETED && status == TaskState.RUNNING) scenario.countLostTask()
        status = TaskState.ENDED
        cause = why
        scenario.running.remove(task, worker)
        worker.changed()
    }

    /** The image is there: the task runs, or waits for the rest of its gang. */
    fun fetched() {
        if (status != TaskState.FETCHING) return
        worker.changed()
        val job = scenario.jobs.getValue(task.job)
        if (!job.spec.isGang || job.spec.taskCount == 1) return run(job)
        status = TaskState.WAITING_FOR_GANG
        val gang = (0 until job.spec.taskCount).mapNotNull { index ->
            val mate = TaskId(task.job, index)
            scenario.running[mate]?.tasks?.get(TaskAttempt(mate, attempt))
        }
        if (gang.size == job.spec.taskCount && gang.all { it.status == TaskState.WAITING_FOR_GANG }) gang.forEach { it.run(job) }
    }

    private fun run(job: ScenarioJob) {
        status = TaskState.RUNNING
        worker.changed()
        scenario.at(job.runMicros) { if (status == TaskState.RUNNING) end(EndCause.COMPLETED) }
    }
}

/** A machine of a [FleetScenario] with its agent, which sends heartbeats and carries out commands. */
internal class ScenarioWorker(
    private val scenario: FleetScenario,
    val name: String,
    val type: MachineType,
    val zone: String,
    val spot: Boolean,
) {
    val bornMicros = scenario.now
    var gone = false
    val tasks = LinkedHashMap<TaskAttempt, ScenarioTask>()
    private var sequenceNumber = 0L
    private var fencingToken = 0L
    private var sentMicros = 0L
    private var dueMicros = 0L
    private val images = HashSet<String>()

    /** Something changed: a heartbeat goes out, half a second after the last one at the earliest. */
    fun changed() = heartbeatAt(maxOf(scenario.now, sentMicros + MIN_INTERVAL_MICROS))

    private fun heartbeatAt(micros: Long) {
        if (dueMicros in (scenario.now + 1)..micros) return
        dueMicros = micros
        scenario.at(micros - scenario.now) { if (dueMicros == micros) heartbeat() }
    }

    /** Sends a heartbeat and carries out the commands of the response. */
    fun heartbeat() {
        if (gone) return
        sentMicros = scenario.now
        dueMicros = 0
        val heartbeat = Heartbeat(
            name, "", type.name, zone, spot, 1, ++sequenceNumber, fencingToken, null,
            tasks.values.map { TaskStatus(it.task, it.attempt, it.status, it.cause, false) },
        )
        val commands = scenario.measured("heartbeat") { scenario.cluster.heartbeat(heartbeat, scenario.now) }.orEmpty()
        if (fencingToken != scenario.fencingToken) changed()
        fencingToken = scenario.fencingToken
        commands.forEach(::execute)
        heartbeatAt(scenario.now + scenario.heartbeatDelayMicros())
    }

    private fun execute(command: Command) {
        val key = TaskAttempt(command.task, command.attempt)
        when (command) {
            is Command.Start -> start(key)
            is Command.Stop -> tasks[key]?.end()
            is Command.Acknowledge -> tasks.remove(key)
        }
    }

    private fun start(key: TaskAttempt) {
        if (key.task in scenario.running) scenario.broken += "ran_twice: ${key.task}"
        scenario.starts += "${scenario.now} ${key.task} $name"
        val task = ScenarioTask(scenario, this, key.task, key.attempt)
        tasks[key] = task
        scenario.running[key.task] = this
        val image = scenario.jobs.getValue(key.task.job).spec.image
        scenario.at(if (images.add(image)) FETCH_MICROS else CACHED_MICROS, task::fetched)
        changed()
    }

    private companion object {
        const val MIN_INTERVAL_MICROS = 500_000L
        const val FETCH_MICROS = 2_000_000L
        const val CACHED_MICROS = 50_000L
    }
}
