package linemast.simulation

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch

private const val JOB_COUNT = 30

/** Submits jobs and pipelines of random sizes, and cancels some of them. */
internal suspend fun CoroutineScope.submitGeneratedJobs(world: SimWorld) {
    repeat(JOB_COUNT) { number ->
        val gang = world.random.nextInt(3) == 0
        val job = SimJob(
            id = "req-%06d".format(number),
            team = if (world.random.nextBoolean()) "north" else "south",
            taskCount = if (gang) 1 + world.random.nextInt(3) else 1 + world.random.nextInt(30),
            vcpus = if (gang) 4.0 else 1.0,
            gang = gang,
            sameZone = world.random.nextInt(3) == 0,
            spread = !gang && world.random.nextInt(4) == 0,
            spot = world.random.nextBoolean(),
            runMicros = world.random.nextLong(2_000_000, 15_000_000),
        )
        world.users.submit(job, if (world.random.nextInt(5) == 0) world.random.nextLong(20_000) else null)
        if (number % 6 == 0) {
            val stages = diamondPipeline("req-7%04d".format(number), world, job.id)
            world.users.submitPipeline(stages, submitLastAfterDependencies = world.random.nextInt(4) == 0)
            if (world.random.nextInt(3) == 0) launch { cancelOnceAccepted(world, stages.random(world.random)) }
        }
        delay(world.random.nextLong(1_000, 8_000))
    }
}

/** Returns one job, two that depend on it, and one that depends on both; the first sometimes depends on [earlierJob]. */
private fun diamondPipeline(id: String, world: SimWorld, earlierJob: String): List<SimJob> {
    fun stage(number: Int, gang: Boolean, dependencies: List<String>) = SimJob(
        "$id$number", "north", if (gang) 2 else 4, if (gang) 2.0 else 1.0, gang, gang, false, true,
        world.random.nextLong(1_000_000, 6_000_000), dependencies = dependencies,
    )
    return listOf(
        stage(0, false, if (world.random.nextInt(3) == 0) listOf(earlierJob) else emptyList()),
        stage(1, false, listOf("${id}0")),
        stage(2, true, listOf("${id}0")),
        stage(3, false, listOf("${id}1", "${id}2")),
    )
}

/** Cancels [job] after a random delay, once it is accepted; does nothing if it is not accepted within a minute. */
private suspend fun cancelOnceAccepted(world: SimWorld, job: SimJob) {
    delay(world.random.nextLong(25_000))
    repeat(60) {
        if (job.accepted) return world.users.cancel(job, 0)
        delay(1_000)
    }
}
