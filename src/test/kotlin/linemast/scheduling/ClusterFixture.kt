package linemast.scheduling

import linemast.domain.Command
import linemast.domain.EndCause
import linemast.domain.Heartbeat
import linemast.domain.Job
import linemast.domain.JobRecord
import linemast.domain.Machine
import linemast.domain.MachineType
import linemast.domain.StoredJobRecord
import linemast.domain.TaskId
import linemast.domain.TaskState
import linemast.domain.TaskStatus
import linemast.planning.Planner
import linemast.planning.RunTimeEstimates
import linemast.settings.Policy
import linemast.testSettings
import linemast.testSpec

/** A leader's cluster state with workers played by hand; the store takes everything at once. */
internal class ClusterFixture(
    val fencingToken: Long = 5,
    teams: String = TEAM,
    recorded: List<String> = emptyList(),
    open: List<JobRecord> = emptyList(),
) {
    var now = 1_000_000L
    val droppedMachines = ArrayList<String>()
    private val settings = testSettings(teams)
    val workers get() = settings.workers
    private val times = RunTimeEstimates()
    private val effects = object : ClusterEffects {
        override fun storeActivation(job: Job) {
            job.activation = Job.Activation.ACTIVE
        }

        override fun storeDone(job: Job) {
            job.storedProgress.dirtyParts.clear()
            if (job.isDone) cluster.finish(job)
        }

        override fun storeMachines(machines: List<Machine>) = machines.forEach { it.isRegistered = true }

        override fun dropMachines(names: List<String>) {
            droppedMachines += names
        }

        override fun dropCancelled(job: Job) = Unit
    }
    val cluster: Cluster =
        Cluster(
            settings,
            ClusterTerm(fencingToken, DEGRADED_MODE_MICROS),
            effects,
            times,
            Planner(settings, Policy(), times),
            LeaderClocks({ now }, { now }),
        )

    init {
        cluster.types = mapOf(TYPE.name to TYPE)
        cluster.load(open.map { StoredJobRecord(it, revision = 1) }, recorded.map { Machine(it, TYPE, "z", false) }, now)
    }

    fun submit(id: String, taskCount: Int, gang: Boolean = false, vcpus: Double = 1.0, team: String = "team"): Job {
        cluster.putJob(JobRecord(spec(id, taskCount, gang, vcpus, team), now, activated = false, cancelled = false), 1)
        return cluster.jobs.getValue(id)
    }

    fun heartbeat(heartbeat: Heartbeat): List<Command> = cluster.heartbeat(heartbeat, now).orEmpty()

    /** Time passes, with the leader's regular work. */
    fun pass(micros: Long) {
        val end = now + micros
        while (now < end) {
            now = minOf(end, now + 250_000)
            cluster.tick(now)
        }
    }

    companion object {
        const val DEGRADED_MODE_MICROS = 14_000_000L
        const val TEAM = """{ name = "team", cpus = 8, cpus_max = 64, gpus = 0, gpus_max = 0 }"""
        val TYPE = MachineType("t", 8.0, 0.0, 64.0, 10.0, 1.0, 1.0, 0.3, 30_000_000, listOf("z"))

        fun spec(id: String, taskCount: Int, gang: Boolean = false, vcpus: Double = 1.0, team: String = "team") = testSpec(
            id,
            "lane" to if (gang) "gangs" else "sweeps",
            "crew" to team,
            "shape" to if (gang) "gang" else "sweep",
            "pieces" to taskCount,
            "vcpus" to vcpus,
            "loaners" to false,
        )
    }
}

/** A worker that does what it is told, if the answer reaches it. */
internal class FakeWorker(private val fixture: ClusterFixture, val name: String) {
    var incarnation = 1L
    var sequenceNumber = 0L
    var fencingToken = 0L
    val tasks = LinkedHashMap<Pair<TaskId, Long>, TaskState>()

    fun nextHeartbeat(): Heartbeat = Heartbeat(
        name, "", ClusterFixture.TYPE.name, "z", false, incarnation, ++sequenceNumber, fencingToken, null,
        tasks.map { (key, status) ->
            TaskStatus(
                key.first,
                key.second,
                status,
                if (status ==
                    TaskState.ENDED
                ) {
                    EndCause.COMPLETED
                } else {
                    null
                },
                false,
            )
        },
    )

    fun heartbeat(answered: Boolean = true): List<Command> {
        val commands = fixture.heartbeat(nextHeartbeat())
        if (!answered) return commands
        fencingToken = fixture.fencingToken
        for (order in commands) {
            val key = order.task to order.attempt
            when (order) {
                is Command.Start -> tasks[key] = TaskState.RUNNING
                is Command.Stop -> if (key in tasks) tasks[key] = TaskState.ENDED
                is Command.Acknowledge -> tasks.remove(key)
            }
        }
        return commands
    }

    /** Reports once a second for [seconds]. */
    fun heartbeatFor(seconds: Int, answered: Boolean = true): List<Command> = (1..seconds).flatMap {
        fixture.pass(1_000_000)
        heartbeat(answered)
    }
}
