package linemast.size

import linemast.autoscaling.Autoscaler
import linemast.cloud.Fleet
import linemast.cloud.ListedMachine
import linemast.domain.Command
import linemast.domain.EndCause
import linemast.domain.Heartbeat
import linemast.domain.Job
import linemast.domain.JobRecord
import linemast.domain.JobSpec
import linemast.domain.Machine
import linemast.domain.MachineType
import linemast.domain.StoredJobRecord
import linemast.domain.TaskId
import linemast.domain.TaskState
import linemast.domain.TaskStatus
import linemast.planning.Planner
import linemast.planning.RunTimeEstimates
import linemast.scheduling.Cluster
import linemast.scheduling.ClusterEffects
import linemast.scheduling.ClusterTerm
import linemast.scheduling.LeaderClocks
import linemast.settings.Policy
import linemast.settings.Settings
import linemast.testSpec
import java.util.PriorityQueue
import kotlin.random.Random

/** A job's part in a [FleetScenario]. */
internal class ScenarioJob(val spec: JobSpec, val runMicros: Long)

/**
 * A leader's decisions at the size of a whole fleet: workers and users in virtual time around a [Cluster] and a
 * [Autoscaler], without network, store or controllers. All starts are noted, so that two runs can be compared.
 */
internal class FleetScenario(
    private val settings: Settings,
    private val types: List<MachineType>,
    baselineMachines: List<Pair<MachineType, String>>,
    private val seed: Int,
    private val maxMachines: Int = 1_450,
) {
    private val random = Random(seed)
    private var number = 0L
    private val queue = PriorityQueue<Event>()
    private val workers = LinkedHashMap<String, ScenarioWorker>()
    var now = 1_000_000L
        private set
    val starts = ArrayList<String>()
    var lost = 0
        private set
    val broken = ArrayList<String>()
    val spent = sortedMapOf<String, Long>()
    val longest = sortedMapOf<String, Long>()
    val doneJobs = HashMap<String, Long>()
    private val running = HashMap<TaskId, ScenarioWorker>()
    private val jobs = HashMap<String, ScenarioJob>()

    private val effects = object : ClusterEffects {
        override fun storeActivation(job: Job) {
            at(20_000) {
                job.activation = Job.Activation.ACTIVE
                cluster.dirty = true
            }
        }

        override fun storeDone(job: Job) {
            if (job.isDone) {
                doneJobs[job.id] = now
                job.finished = true
                cluster.jobs.remove(job.id)
            }
            job.storedProgress.dirtyParts.clear()
        }

        override fun storeMachines(machines: List<Machine>) = machines.forEach { it.isRegistered = true }

        override fun dropMachines(names: List<String>) = Unit

        override fun dropCancelled(job: Job) = Unit
    }

    /** All that a leader holds in memory; a take-over begins with another one. */
    private inner class LeaderState(val fencingToken: Long) {
        private val times = RunTimeEstimates()
        private val planner = Planner(settings, Policy(), times)
        val fleet = Fleet(settings, Policy(), fencingToken)
        val cluster: Cluster =
            Cluster(settings, ClusterTerm(fencingToken, GRACE_MICROS), effects, times, planner, LeaderClocks({ now }, { now }))
        val autoscaler = Autoscaler(cluster, fleet, planner, Policy())
    }

    private var leader = LeaderState(FIRST_FENCING_TOKEN)
    val cluster: Cluster get() = leader.cluster
    private val fleet: Fleet get() = leader.fleet
    private val autoscaler: Autoscaler get() = leader.autoscaler

    /** Another controller leads from now on; it knows what the store holds, and nothing else. */
    fun takeOver() {
        val before = leader
        leader = LeaderState(before.fencingToken + 1)
        cluster.types = before.cluster.types
        val open = before.cluster.jobs.values.filter { !it.finished }
        cluster.load(
            open.map {
                val activated = it.activation == Job.Activation.ACTIVE
                StoredJobRecord(JobRecord(it.spec, it.acceptedWallMicros, activated = activated, cancelled = false), revision = 1)
            },
            before.cluster.machines.values.filter { it.isRegistered }.map { Machine(it.name, it.type, it.zone, it.spot) },
            now,
        )
        for (job in open) job.done.stream().forEach { cluster.jobs.getValue(job.id).markDone(it) }
        fleet.baselineMachines = before.fleet.baselineMachines
        fleet.baselineMachines?.let(cluster::markBaseline)
    }

    private class Event(val atMicros: Long, val number: Long, val action: () -> Unit) : Comparable<Event> {
        override fun compareTo(other: Event) = compareValuesBy(this, other, { it.atMicros }, { it.number })
    }

    init {
        cluster.types = types.associateBy { it.name }
        cluster.load(emptyList(), emptyList(), now)
        baselineMachines.forEach { (type, zone) -> addWorker(type, zone, false) }
        list()
        fleet.baselineMachines = workers.keys.toSet()
        fleet.baselineMachines?.let(cluster::markBaseline)
        tick()
    }

    fun at(afterMicros: Long, action: () -> Unit) {
        queue.add(Event(now + afterMicros, number++, action))
    }

    fun runUntil(micros: Long) {
        while (queue.isNotEmpty() && queue.peek().atMicros <= micros) {
            val event = queue.poll()
            now = event.atMicros
            event.action()
        }
        now = micros
    }

    fun submit(spec: JobSpec, runMicros: Long) {
        jobs[spec.id] = ScenarioJob(spec, runMicros)
        cluster.putJob(JobRecord(spec, now, activated = false, cancelled = false), 1)
    }

    private fun <T> measured(what: String, action: () -> T): T {
        val start = System.nanoTime()
        return action().also {
            val took = System.nanoTime() - start
            spent.merge(what, took, Long::plus)
            longest.merge(what, took, ::maxOf)
        }
    }

    private fun tick() {
        measured("tick") { cluster.tick(now) }
        val actions = measured("steward") { autoscaler.step(now, now) }
        for (request in actions.scaleOuts) {
            at(120_000) {
                val type = types.first { it.name == request.machineType }
                val names = List(minOf(request.number, maxMachines - workers.size).coerceAtLeast(0)) {
                    addWorker(type, request.zone, request.spot, (type.startupMicros * (0.6 + 0.9 * random.nextDouble())).toLong())
                }
                if (names.isEmpty()) {
                    fleet.scaleOutRefused(
                        request,
                        cluster.types,
                        now,
                    )
                } else {
                    fleet.scaleOutGranted(request, names, cluster.types, now)
                }
                if (names.size < request.number || fleet.hasDeferredDemand) autoscaler.replanSoon()
            }
        }
        if (!actions.scaleIns.isEmpty) {
            val names = actions.scaleIns.names
            names.forEach {
                fleet.machines[it]?.scalingIn = true
                cluster.machines[it]?.draining = true
            }
            at(120_000) {
                names.forEach(::removeWorker)
                fleet.scaleInConfirmed(names)
                cluster.markTerminated(names)
            }
        }
        at(250_000, ::tick)
    }

    private fun list() {
        val list = workers.values.map { ListedMachine(it.name, "", it.type.name, it.zone, it.spot, "running", now - it.bornMicros) }
        measured("list") {
            fleet.updateFromList(list, cluster.types, now)
            cluster.removeUnlisted(fleet.machines.keys, now)
        }
        at(3_000_000, ::list)
    }

    private fun addWorker(type: MachineType, zone: String, spot: Boolean, bootMicros: Long = random.nextLong(1_000_000)): String {
        val worker = ScenarioWorker("host-%06d".format(workers.size + removed + 1), type, zone, spot)
        workers[worker.name] = worker
        at(bootMicros, worker::heartbeat)
        return worker.name
    }

    private var removed = 0

    fun removeWorker(name: String) {
        val worker = workers.remove(name) ?: return
        removed++
        worker.gone = true
        worker.tasks.values.forEach { it.end() }
    }

    fun killRandom(count: Int) = workers.keys.shuffled(random).take(count).forEach(::removeWorker)

    private inner class ScenarioTask(val worker: ScenarioWorker, val task: TaskId, val attempt: Long) {
        var status = TaskState.FETCHING
        var cause: EndCause? = null

        fun end(why: EndCause = EndCause.STOPPED) {
            if (status == TaskState.ENDED) return
            if (why != EndCause.DONE && status == TaskState.RUNNING) lost++
            status = TaskState.ENDED
            cause = why
            running.remove(task, worker)
            worker.changed()
        }

        fun fetched() {
            if (status != TaskState.FETCHING) return
            worker.changed()
            val job = jobs.getValue(task.job)
            if (job.spec.isGang && job.spec.taskCount > 1) {
                status = TaskState.WAITING_FOR_GANG
                val mates = (0 until job.spec.taskCount).mapNotNull { index ->
                    running[TaskId(task.job, index)]?.tasks?.get(TaskId(task.job, index) to attempt)
                }
                if (mates.size == job.spec.taskCount && mates.all { it.status == TaskState.WAITING_FOR_GANG }) mates.forEach { it.run(job) }
            } else {
                run(job)
            }
        }

        private fun run(job: ScenarioJob) {
            status = TaskState.RUNNING
            worker.changed()
            at(job.runMicros) { if (status == TaskState.RUNNING) end(EndCause.DONE) }
        }
    }

    private inner class ScenarioWorker(val name: String, val type: MachineType, val zone: String, val spot: Boolean) {
        val bornMicros = now
        var gone = false
        var sequenceNumber = 0L
        var fencingToken = 0L
        var sentMicros = 0L
        var due = 0L
        val tasks = LinkedHashMap<Pair<TaskId, Long>, ScenarioTask>()
        val images = HashSet<String>()

        fun changed() = reportAt(maxOf(now, sentMicros + 500_000))

        private fun reportAt(micros: Long) {
            if (due in (now + 1)..micros) return
            due = micros
            at(micros - now) { if (due == micros) heartbeat() }
        }

        fun heartbeat() {
            if (gone) return
            sentMicros = now
            due = 0
            val heartbeat = Heartbeat(
                name, "", type.name, zone, spot, 1, ++sequenceNumber, fencingToken, null,
                tasks.values.map { TaskStatus(it.task, it.attempt, it.status, it.cause, false) },
            )
            val commands = measured("report") { cluster.heartbeat(heartbeat, now) }.orEmpty()
            if (fencingToken != leader.fencingToken) changed()
            fencingToken = leader.fencingToken
            commands.forEach(::execute)
            val period = settings.workers.heartbeatIntervalMicros
            reportAt(now + period * 3 / 4 + random.nextLong(period / 2))
        }

        private fun execute(order: Command) {
            val key = order.task to order.attempt
            when (order) {
                is Command.Start -> {
                    val other = running[order.task]
                    if (other != null) broken += "ran_twice: ${order.task}"
                    starts += "$now ${order.task} $name"
                    val task = ScenarioTask(this, order.task, order.attempt)
                    tasks[key] = task
                    running[order.task] = this
                    val image = jobs.getValue(order.task.job).spec.image
                    at(if (images.add(image)) 2_000_000 else 50_000, task::fetched)
                    changed()
                }
                is Command.Stop -> tasks[key]?.end()
                is Command.Acknowledge -> tasks.remove(key)
            }
        }
    }

    companion object {
        private const val FIRST_FENCING_TOKEN = 5L
        private const val GRACE_MICROS = 10_000_000L

        fun spec(
            id: String,
            jobClass: String,
            team: String,
            gang: Boolean,
            taskCount: Int,
            vcpus: Double,
            memoryGb: Double,
            image: String,
            estimateS: Double,
            deadlineS: Double?,
        ) = testSpec(
            id, "lane" to jobClass, "crew" to team, "shape" to if (gang) "gang" else "sweep", "urgency" to if (gang) "normal" else "idle",
            "pieces" to taskCount, "vcpus" to vcpus, "memory_gb" to memoryGb, "bundle" to image, "same_place" to gang, "loaners" to !gang,
            "guess_s" to estimateS, "due_s" to deadlineS,
        )
    }
}
