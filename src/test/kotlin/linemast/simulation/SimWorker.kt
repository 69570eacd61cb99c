package linemast.simulation

import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import linemast.cloud.ListedMachine
import linemast.domain.MachineType
import linemast.serialization.Cbor
import linemast.serialization.Fields

/** Simulated worker that follows the worker protocol: incarnations, leases, fencing tokens, commands and gangs. */
class SimWorker(
    private val world: SimWorld,
    val name: String,
    val type: MachineType,
    val zone: String,
    val spot: Boolean,
    private val leaseMicros: Long,
) {
    class Task(val job: String, val index: Int, val attempt: Long) {
        var status = "fetching"
        var cause: String? = null
        var readyMicros = 0L
        var endMicros = 0L

        /** Revision of the store when the worker started the task. */
        var startRevision = 0L
    }

    private val random get() = world.random
    private val createdMicros = world.clock.nowMicros()
    val tasks = LinkedHashMap<String, Task>()

    /** Whether the machine no longer exists. */
    var isRemoved = false

    /** Until when the worker is paused: it runs no tasks and sends no heartbeats. */
    var pausedUntilMicros = 0L

    /** Whether tasks end with an error when they would begin to run. */
    var failsTasks = false

    /** Whether heartbeats reach the controllers but their responses are lost. */
    var losesResponses = false

    /** Whether the worker reaches no controller. */
    var isPartitioned = false
    private var incarnation = 1L
    private var sequenceNumber = 0L
    var fencingToken = 0L
        private set
    private var renewedMicros = world.clock.nowMicros()

    /** Index of the controller that heartbeats are sent to. */
    private var controller = random.nextInt(3)

    /** Whether the next heartbeat is sent early, because the state has changed. */
    private var heartbeatDue = true

    val isLeaseExpired: Boolean get() = world.clock.nowMicros() - renewedMicros > leaseMicros
    private val isPaused: Boolean get() = world.clock.nowMicros() < pausedUntilMicros

    fun toListedMachine(now: Long) = ListedMachine(name, "10.9.0.1:9", type.name, zone, spot, "running", now - createdMicros)

    /** Number of machine restarts; the response to a heartbeat that was sent before a restart is ignored. */
    private var bootCount = 0

    /** Restarts the machine without a delay; the new worker process has no tasks and no state of the previous one. */
    fun reboot() {
        bootCount++
        tasks.clear()
        incarnation = 1
        sequenceNumber = 0
        fencingToken = 0
        renewedMicros = world.clock.nowMicros()
        heartbeatDue = true
    }

    fun start() {
        world.scope.launch { runTasks() }
        world.scope.launch { sendHeartbeats() }
    }

    /** Runs a task of [job] for which no controller has sent a start. */
    fun startUnrecordedTask(job: SimJob) {
        val task = Task(job.id, 0, 1)
        run(task, world.clock.nowMicros(), job.runMicros)
        tasks["${job.id}/0#1"] = task
    }

    private suspend fun runTasks() {
        while (!isRemoved) {
            delay(STEP_MILLIS)
            if (!isPaused) updateTasks()
        }
    }

    private fun updateTasks() {
        val now = world.clock.nowMicros()
        if (now - renewedMicros > leaseMicros) {
            world.onLeaseExpiry(tasks.values.map { "${it.job}/${it.index}" })
            tasks.clear()
            incarnation++
            renewedMicros = now
            heartbeatDue = true
        }
        for (task in tasks.values.toList()) advance(task, now)
    }

    private fun advance(task: Task, now: Long) {
        val job = world.jobs.getValue(task.job)
        when (task.status) {
            "fetching" -> if (now >= task.readyMicros) {
                heartbeatDue = true
                when {
                    "${task.job}/${task.index}" in world.completedTasks -> end(task, "done")
                    failsTasks || job.isMistaken -> end(task, "error")
                    job.gang -> task.status = "gathering"
                    else -> run(task, now, job.runMicrosOf(task.index))
                }
            }
            "gathering" -> when {
                world.isGangReady(task) -> run(task, now, job.runMicrosOf(task.index))
                now - task.readyMicros > GANG_WAIT_MICROS -> end(task, "alone")
            }
            "running" -> when {
                job.gang && !world.isGangIntact(task) -> end(task, if (world.isTaskCompleted(task)) "done" else "mates_gone")
                now >= task.endMicros -> {
                    // A gang completes together: when one task is done, all are.
                    val completed = if (job.gang) 0 until job.taskCount else task.index..task.index
                    completed.forEach { world.completedTasks += "${task.job}/$it" }
                    end(task, "done")
                    world.users.onTaskDone(job)
                }
            }
        }
    }

    private fun run(task: Task, now: Long, runMicros: Long) {
        task.status = "running"
        task.endMicros = now + runMicros
        heartbeatDue = true
    }

    private fun end(task: Task, cause: String) {
        task.status = "ended"
        task.cause = cause
        heartbeatDue = true
    }

    private suspend fun sendHeartbeats() {
        while (!isRemoved) {
            val wait = if (heartbeatDue) 500L else random.nextLong(750, 1_250)
            delay(wait)
            if (isPaused || isRemoved) continue
            heartbeatDue = false
            sendHeartbeat()
        }
    }

    private suspend fun sendHeartbeat() {
        val sentMicros = world.clock.nowMicros()
        val sentIncarnation = incarnation
        val sentBootCount = bootCount
        val body = Cbor.encode(heartbeatBody())
        if (isPartitioned) {
            delay(500)
            return switchController()
        }
        if (random.nextDouble() < world.network.messageLossProbability) {
            // The network loses the heartbeat or delivers it late; the worker does not receive the response.
            if (random.nextBoolean()) {
                world.scope.launch {
                    delay(random.nextLong(20_000))
                    withTimeoutOrNull(4_000) { world.send(controller, "POST", "/agent/beat", body, zone) }
                }
            }
            delay(4_000)
            return switchController()
        }
        if (random.nextDouble() < world.network.delayedDuplicateProbability) {
            world.scope.launch {
                delay(random.nextLong(1_000, 30_000))
                withTimeoutOrNull(4_000) { world.send(random.nextInt(3), "POST", "/agent/beat", body, zone) }
            }
        }
        val response = withTimeoutOrNull(4_000) { world.send(controller, "POST", "/agent/beat", body, zone) }
        if (losesResponses) {
            delay(4_000)
            return switchController()
        }
        if (response == null || random.nextDouble() < world.network.messageLossProbability) {
            delay(1_000)
            return switchController()
        }
        if (isPaused || isRemoved) return
        when (response.status) {
            200 -> if (incarnation == sentIncarnation && bootCount == sentBootCount) {
                handleResponse(Cbor.decodeMap(response.body), sentMicros)
            }
            421 -> followRedirect(if (response.body.isEmpty()) null else Cbor.decodeMap(response.body).textOrNull("bridge"))
            else -> {
                delay(1_000)
                switchController()
            }
        }
    }

    /** Switches to the controller that the response names, or to the next one if it names none. */
    private suspend fun followRedirect(bridge: String?) {
        val target = bridge?.removePrefix("mast-")?.toInt()
        if (target == null || target == controller) {
            delay(1_000)
            switchController()
        } else {
            controller = target
        }
    }

    private fun switchController() {
        controller = (controller + 1) % 3
    }

    /** Renews the lease and executes the commands, unless the response is from a previous leader. */
    private fun handleResponse(response: Fields, sentMicros: Long) {
        val token = response.longOrNull("helm") ?: return
        if (token < fencingToken) return
        if (token > fencingToken) heartbeatDue = true
        fencingToken = token
        renewedMicros = maxOf(renewedMicros, sentMicros)
        for (command in response.children("orders")) execute(command)
    }

    private fun execute(command: Fields) {
        val task = command.text("piece")
        val attempt = command.long("try")
        val key = "$task#$attempt"
        world.onCommand(name, command.text("verb"), key)
        val job = task.substringBefore('/')
        val index = task.substringAfter('/').toInt()
        when (command.text("verb")) {
            "start" -> if (key !in tasks) {
                val task = Task(job, index, attempt)
                task.readyMicros = world.clock.nowMicros() + random.nextLong(200_000, 2_000_000)
                task.startRevision = world.store.revision
                world.onStart(this, task)
                tasks[key] = task
            }
            "halt" -> tasks[key]?.let { if (it.status != "ended") end(it, "halted") }
            "clear" -> if (tasks[key]?.status == "ended") tasks.remove(key)
        }
    }

    private fun heartbeatBody(): Map<String, Any?> = mapOf(
        "rig" to name, "addr" to "10.9.0.1:9", "build" to type.name, "yard" to zone, "loaners" to spot,
        "watch" to incarnation, "tick" to ++sequenceNumber, "helm" to fencingToken, "recall_s" to null,
        "pieces" to tasks.values.map {
            mapOf("piece" to "${it.job}/${it.index}", "try" to it.attempt, "status" to it.status, "cause" to it.cause)
        },
    )

    private companion object {
        const val STEP_MILLIS = 100L
        const val GANG_WAIT_MICROS = 10_000_000L
    }
}
