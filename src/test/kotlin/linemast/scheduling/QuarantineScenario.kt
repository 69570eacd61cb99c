package linemast.scheduling

import linemast.domain.Command
import linemast.domain.EndCause
import linemast.domain.Job
import linemast.domain.TaskId
import linemast.domain.TaskState

/** A leader with workers that end their tasks: those of mistaken jobs and those started on faulty machines fail, the others complete. */
internal class QuarantineScenario(machineCount: Int) {
    val fixture = ClusterFixture()
    val workers = List(machineCount) { FakeWorker(fixture, "host-00000$it") }

    /** The machines on which each task fails that is started now. */
    val faulty = HashSet<FakeWorker>()

    /** Number of starts of each job on each machine. */
    val starts = HashMap<Pair<String, String>, Int>()
    private val mistaken = HashSet<String>()
    private val runSeconds = HashMap<String, Int>()
    private val startedMicros = HashMap<Pair<TaskId, Long>, Long>()
    private val failing = HashSet<Pair<TaskId, Long>>()
    private var jobCount = 0

    init {
        run(2)
    }

    /** Submits a job whose tasks complete after [seconds] on machines that are not faulty. */
    fun submit(taskCount: Int = 1, vcpus: Double = 1.0, seconds: Int = 2): Job {
        val id = "req-${++jobCount}"
        runSeconds[id] = seconds
        return fixture.submit(id, taskCount, vcpus = vcpus)
    }

    /** Submits a job whose tasks fail on every machine. */
    fun submitMistaken(taskCount: Int = 1, vcpus: Double = 1.0): Job {
        mistaken += "req-${jobCount + 1}"
        return submit(taskCount, vcpus)
    }

    fun isQuarantined(worker: FakeWorker): Boolean = fixture.cluster.machines.getValue(worker.name).isDraining

    /** Lets [seconds] pass, with one heartbeat of each worker in each. */
    fun run(seconds: Int) = repeat(seconds) {
        fixture.advance(1_000_000)
        workers.forEach(::endTasks)
        workers.forEach { worker -> worker.heartbeat().forEach { command -> recordStart(worker, command) } }
    }

    /** Lets time pass until [condition] holds, for at most [maxSeconds]; returns the seconds that have passed. */
    fun runUntil(maxSeconds: Int, condition: () -> Boolean): Int {
        var seconds = 0
        while (seconds < maxSeconds && !condition()) {
            run(1)
            seconds++
        }
        return seconds
    }

    private fun recordStart(worker: FakeWorker, command: Command) {
        if (command !is Command.Start) return
        val key = command.task to command.attempt
        startedMicros[key] = fixture.nowMicros
        if (command.task.job in mistaken || worker in faulty) failing += key
        starts.merge(command.task.job to worker.name, 1, Int::plus)
    }

    private fun endTasks(worker: FakeWorker) {
        for (key in worker.tasks.keys.filter { worker.tasks[it] == TaskState.RUNNING }) {
            val isFailing = key in failing
            val isOver = fixture.nowMicros - startedMicros.getValue(key) >= runSeconds.getValue(key.first.job) * 1_000_000L
            if (isFailing) worker.endCauses[key] = EndCause.FAILED
            if (isFailing || isOver) worker.tasks[key] = TaskState.ENDED
        }
    }
}
