package linemast.size

import linemast.domain.Command
import linemast.domain.EndCause
import linemast.domain.Heartbeat
import linemast.domain.MachineType
import linemast.domain.TaskAttempt
import linemast.domain.TaskId
import linemast.domain.TaskState
import linemast.domain.TaskStatus

/** An attempt of a task on a machine of a [FleetScenario]. */
internal class ScenarioTask(private val scenario: FleetScenario, val worker: ScenarioWorker, val task: TaskId, val attempt: Long) {
    var status = TaskState.FETCHING
    var cause: EndCause? = null

    /** Ends the task unless it has ended already. */
    fun end(endCause: EndCause = EndCause.STOPPED) {
        if (status == TaskState.ENDED) return
        if (endCause != EndCause.COMPLETED && status == TaskState.RUNNING) scenario.countLostTask()
        status = TaskState.ENDED
        cause = endCause
        scenario.workerByTask.remove(task, worker)
        worker.requestHeartbeat()
    }

    /** Runs the task after its image has been fetched, or lets the task wait until all tasks of its gang have their image. */
    fun completeFetch() {
        if (status != TaskState.FETCHING) return
        worker.requestHeartbeat()
        val job = scenario.jobs.getValue(task.job)
        if (!job.spec.isGang || job.spec.taskCount == 1) return run(job)
        status = TaskState.WAITING_FOR_GANG
        val members = (0 until job.spec.taskCount).mapNotNull { index ->
            val member = TaskId(task.job, index)
            scenario.workerByTask[member]?.tasks?.get(TaskAttempt(member, attempt))
        }
        if (members.size == job.spec.taskCount && members.all { it.status == TaskState.WAITING_FOR_GANG }) members.forEach { it.run(job) }
    }

    private fun run(job: ScenarioJob) {
        status = TaskState.RUNNING
        worker.requestHeartbeat()
        scenario.schedule(job.runMicros) { if (status == TaskState.RUNNING) end(EndCause.COMPLETED) }
    }
}

/** A machine of a [FleetScenario] with its worker process, which sends heartbeats and executes commands. */
internal class ScenarioWorker(
    private val scenario: FleetScenario,
    val name: String,
    val type: MachineType,
    val zone: String,
    val spot: Boolean,
) {
    val createdMicros = scenario.now
    var isRemoved = false
    val tasks = LinkedHashMap<TaskAttempt, ScenarioTask>()
    private var sequenceNumber = 0L
    private var fencingToken = 0L
    private var lastHeartbeatMicros = 0L
    private var nextHeartbeatMicros = 0L
    private val fetchedImages = HashSet<String>()

    /** Schedules a heartbeat that reports a change, half a second after the last heartbeat at the earliest. */
    fun requestHeartbeat() = scheduleHeartbeat(maxOf(scenario.now, lastHeartbeatMicros + MIN_HEARTBEAT_INTERVAL_MICROS))

    private fun scheduleHeartbeat(micros: Long) {
        if (nextHeartbeatMicros in (scenario.now + 1)..micros) return
        nextHeartbeatMicros = micros
        scenario.schedule(micros - scenario.now) { if (nextHeartbeatMicros == micros) sendHeartbeat() }
    }

    /** Sends a heartbeat and executes the commands of the response. */
    fun sendHeartbeat() {
        if (isRemoved) return
        lastHeartbeatMicros = scenario.now
        nextHeartbeatMicros = 0
        val heartbeat = Heartbeat(
            name, "", type.name, zone, spot, 1, ++sequenceNumber, fencingToken, null,
            tasks.values.map { TaskStatus(it.task, it.attempt, it.status, it.cause, false) },
        )
        val commands = scenario.measure("heartbeat") { scenario.cluster.heartbeat(heartbeat, scenario.now) }.orEmpty()
        if (fencingToken != scenario.fencingToken) requestHeartbeat()
        fencingToken = scenario.fencingToken
        commands.forEach(::execute)
        scheduleHeartbeat(scenario.now + scenario.heartbeatDelayMicros())
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
        if (key.task in scenario.workerByTask) scenario.violations += "started while another attempt has not ended: ${key.task}"
        scenario.starts += "${scenario.now} ${key.task} $name"
        val task = ScenarioTask(scenario, this, key.task, key.attempt)
        tasks[key] = task
        scenario.workerByTask[key.task] = this
        val image = scenario.jobs.getValue(key.task.job).spec.image
        scenario.schedule(if (fetchedImages.add(image)) FETCH_MICROS else CACHED_FETCH_MICROS, task::completeFetch)
        requestHeartbeat()
    }

    private companion object {
        const val MIN_HEARTBEAT_INTERVAL_MICROS = 500_000L
        const val FETCH_MICROS = 2_000_000L
        const val CACHED_FETCH_MICROS = 50_000L
    }
}
