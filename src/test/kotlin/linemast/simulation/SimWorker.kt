package linemast.simulation

import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import linemast.cloud.ListedMachine
import linemast.domain.MachineType
import linemast.serialization.Cbor
import linemast.serialization.Fields

/** Stand-in of a worker: sessions, leases, tokens and tasks as the protocol's page has them. */
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

        /** Revision of the store when it was started. */
        var startRevision = 0L
    }

    private val random get() = world.random
    private val born = world.clock.nowMicros()
    val tasks = LinkedHashMap<String, Task>()
    var gone = false
    var hungUntilMicros = 0L
    var sick = false

    /** Its reports get through, the answers to them do not. */
    var deaf = false

    /** Reaches no controller. */
    var mute = false
    private var incarnation = 1L
    private var sequenceNumber = 0L
    var fencingToken = 0L
        private set
    private var renewedMicros = world.clock.nowMicros()
    private var node = random.nextInt(3)
    private var reportSoon = true

    val leaseOver: Boolean get() = world.clock.nowMicros() - renewedMicros > leaseMicros
    private val hung: Boolean get() = world.clock.nowMicros() < hungUntilMicros

    fun listed(now: Long) = ListedMachine(name, "10.9.0.1:9", type.name, zone, spot, "running", now - born)

    private var boots = 0

    /** The machine is back at once: its worker knows nothing of what was before. */
    fun reboot() {
        boots++
        tasks.clear()
        incarnation = 1
        sequenceNumber = 0
        fencingToken = 0
        renewedMicros = world.clock.nowMicros()
        reportSoon = true
    }

    fun start() {
        world.scope.launch { live() }
        world.scope.launch { heartbeats() }
    }

    /** Has a task run here that no controller of this store has ordered. */
    fun inject(job: SimJob) {
        val task = Task(job.id, 0, 1)
        run(task, world.clock.nowMicros(), job.runMicros)
        tasks["${job.id}/0#1"] = task
    }

    private suspend fun live() {
        while (!gone) {
            delay(STEP_MILLIS)
            if (!hung) step()
        }
    }

    private fun step() {
        val now = world.clock.nowMicros()
        if (now - renewedMicros > leaseMicros) {
            world.onLeaseEnd(tasks.values.map { "${it.job}/${it.index}" })
            tasks.clear()
            incarnation++
            renewedMicros = now
            reportSoon = true
        }
        for (task in tasks.values.toList()) advance(task, now)
    }

    private fun advance(task: Task, now: Long) {
        val job = world.jobs.getValue(task.job)
        when (task.status) {
            "fetching" -> if (now >= task.readyMicros) {
                reportSoon = true
                when {
                    "${task.job}/${task.index}" in world.completed -> end(task, "done")
                    sick -> end(task, "error")
                    job.gang -> task.status = "gathering"
                    else -> run(task, now, job.runMicrosOf(task.index))
                }
            }
            "gathering" -> when {
                world.gangGathers(task) -> run(task, now, job.runMicrosOf(task.index))
                now - task.readyMicros > GANG_WAIT_MICROS -> end(task, "alone")
            }
            "running" -> when {
                job.gang && !world.gangWhole(task) -> end(task, if (world.gangDone(task)) "done" else "mates_gone")
                now >= task.endMicros -> {
                    // A gang completes together: when one task is done, all are.
                    val done = if (job.gang) 0 until job.taskCount else task.index..task.index
                    done.forEach { world.completed += "${task.job}/$it" }
                    end(task, "done")
                    world.users.onTaskDone(job)
                }
            }
        }
    }

    private fun run(task: Task, now: Long, runMicros: Long) {
        task.status = "running"
        task.endMicros = now + runMicros
        reportSoon = true
    }

    private fun end(task: Task, cause: String) {
        task.status = "ended"
        task.cause = cause
        reportSoon = true
    }

    private suspend fun heartbeats() {
        while (!gone) {
            val wait = if (reportSoon) 500L else random.nextLong(750, 1_250)
            delay(wait)
            if (hung || gone) continue
            reportSoon = false
            heartbeat()
        }
    }

    private suspend fun heartbeat() {
        val sent = world.clock.nowMicros()
        val sentIncarnation = incarnation
        val boot = boots
        val body = Cbor.encode(reportBody())
        if (mute) {
            delay(500)
            return next()
        }
        if (random.nextDouble() < world.network.loss) {
            // Held back by the network: delivered late or never, and nobody waits for the answer.
            if (random.nextBoolean()) {
                world.scope.launch {
                    delay(random.nextLong(20_000))
                    withTimeoutOrNull(4_000) { world.send(node, "POST", "/agent/beat", body, zone) }
                }
            }
            delay(4_000)
            return next()
        }
        if (random.nextDouble() < world.network.lateCopies) {
            world.scope.launch {
                delay(random.nextLong(1_000, 30_000))
                withTimeoutOrNull(4_000) { world.send(random.nextInt(3), "POST", "/agent/beat", body, zone) }
            }
        }
        val reply = withTimeoutOrNull(4_000) { world.send(node, "POST", "/agent/beat", body, zone) }
        if (deaf) {
            delay(4_000)
            return next()
        }
        if (reply == null || random.nextDouble() < world.network.loss) {
            delay(1_000)
            return next()
        }
        if (hung || gone) return
        when (reply.status) {
            200 -> if (incarnation == sentIncarnation && boots == boot) take(Cbor.decodeMap(reply.body), sent)
            421 -> redirect(if (reply.body.isEmpty()) null else Cbor.decodeMap(reply.body).textOrNull("bridge"))
            else -> {
                delay(1_000)
                next()
            }
        }
    }

    private suspend fun redirect(bridge: String?) {
        val at = bridge?.removePrefix("mast-")?.toInt()
        if (at == null || at == node) {
            delay(1_000)
            next()
        } else {
            node = at
        }
    }

    private fun next() {
        node = (node + 1) % 3
    }

    private fun take(reply: Fields, sent: Long) {
        val token = reply.longOrNull("helm") ?: return
        if (token < fencingToken) return
        if (token > fencingToken) reportSoon = true
        fencingToken = token
        renewedMicros = maxOf(renewedMicros, sent)
        for (order in reply.children("orders")) execute(order)
    }

    private fun execute(order: Fields) {
        val task = order.text("piece")
        val attempt = order.long("try")
        val key = "$task#$attempt"
        world.onCommand(name, order.text("verb"), key)
        val job = task.substringBefore('/')
        val index = task.substringAfter('/').toInt()
        when (order.text("verb")) {
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

    private fun reportBody(): Map<String, Any?> = mapOf(
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
