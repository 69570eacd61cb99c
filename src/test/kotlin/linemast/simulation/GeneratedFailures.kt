package linemast.simulation

import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope

private const val FAILURE_PERIOD_MILLIS = 180_000L
private const val MAX_CANCELLATION_DELAY_MILLIS = 60_000L
private const val MAX_ACTION_DELAY_MILLIS = 30_000L

/**
 * Lets tasks fail for three minutes, because of machines or of jobs, while the leader changes and scale-ins are lost or late. Then all
 * machines work again, and the users have cancelled the mistaken jobs.
 */
internal suspend fun TestScope.injectGeneratedFailures(world: SimWorld) {
    world.cloud.lateActionProbability = 0.2
    world.cloud.lateActionDelayMillis = 0..MAX_ACTION_DELAY_MILLIS
    world.cloud.lostResponseProbability = 0.2
    val mistakenJobs = MistakenJobs(world)
    while (testScheduler.currentTime < FAILURE_PERIOD_MILLIS) {
        delay(world.random.nextLong(2_000, 10_000))
        injectFailure(world, mistakenJobs)
    }
    world.cloud.lateActionProbability = 0.0
    world.cloud.lostResponseProbability = 0.0
    delay(MAX_CANCELLATION_DELAY_MILLIS + MAX_ACTION_DELAY_MILLIS)
    world.workers.values.forEach { it.failsTasks = false }
    while (!mistakenJobs.areCancelled) delay(1_000)
    world.checks.faultFreeSinceMicros = world.clock.nowMicros()
}

private fun TestScope.injectFailure(world: SimWorld, mistakenJobs: MistakenJobs) {
    val random = world.random
    val machines = world.workers.values.toList()
    when (random.nextInt(8)) {
        0, 1 -> failTasks(machines.shuffled(random).take(1), random.nextLong(2_000, 70_000))
        2 -> failTasks(machines, random.nextLong(1_000, 10_000))
        3 -> failTasks(machines.shuffled(random).take(1), FAILURE_PERIOD_MILLIS)
        4 -> backgroundScope.launch { restartController(world, leaderOf(world).coerceAtLeast(0), random.nextLong(100, 4_000)) }
        else -> mistakenJobs.submit()
    }
}

private fun TestScope.failTasks(machines: List<SimWorker>, forMillis: Long) {
    backgroundScope.launch {
        machines.forEach { it.failsTasks = true }
        delay(forMillis)
        machines.forEach { it.failsTasks = false }
    }
}

/** Jobs that users submit with a mistake and cancel within a minute. */
private class MistakenJobs(private val world: SimWorld) {
    private val jobs = ArrayList<SimJob>()

    val areCancelled: Boolean get() = jobs.all { it.acknowledgedStatus != null }

    fun submit() {
        val random = world.random
        val team = if (random.nextBoolean()) "north" else "south"
        val vcpus = if (random.nextBoolean()) 1.0 else 2.0
        val job = SimJob("req-96%04d".format(jobs.size), team, 1 + random.nextInt(6), vcpus, false, false, false, true, 5_000_000)
        job.isMistaken = true
        jobs += job
        world.users.submit(job, cancelAfterMillis = random.nextLong(5_000, MAX_CANCELLATION_DELAY_MILLIS))
    }
}
