package linemast.simulation

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import linemast.serialization.Cbor
import linemast.transport.HttpResponse
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource

/**
 * Guards against starts of a job's tasks after a user was told that the job is cancelled (review/3, ran_cancelled).
 *
 * [InvariantChecks] compares the times at which controllers send responses, so that no start counts as on its way.
 */
class CancellationConfirmationTest {
    /** The user is told by a follower while the leader starts tasks on a view of the cancellations from before. */
    @ParameterizedTest
    @ValueSource(ints = [101, 102, 103, 104, 105])
    fun `no task is started after the confirmation if the store refuses the leader`(seed: Int) = run(seed) {
        refuseLeader()
        cancelOnceAt(follower)
    }

    /** Without the peer links nobody acknowledges the cancellation, and the follower has to wait instead. */
    @ParameterizedTest
    @ValueSource(ints = [106, 107, 108, 109, 110])
    fun `no task is started after the confirmation if the leader is cut off from store and peers`(seed: Int) = run(seed) {
        refuseLeader()
        world.network.partitioned += leader
        cancelOnceAt(follower)
    }

    @ParameterizedTest
    @ValueSource(ints = [111, 112, 113, 114, 115, 116])
    fun `no task is started after the confirmation if the leader changes while the user waits`(seed: Int) = run(seed) {
        refuseLeader()
        if (seed % 2 == 0) world.network.partitioned += leader
        scope.launch {
            delay(world.random.nextLong(4_000))
            restartController(world, leader, 1_000)
        }
        cancelUntilConfirmed()
    }

    @ParameterizedTest
    @ValueSource(ints = [117, 118, 119])
    fun `no task is started after the confirmation if two followers are asked at once`(seed: Int) = run(seed) {
        refuseLeader()
        if (seed % 2 == 0) world.network.partitioned += leader
        coroutineScope { listOf(follower, otherFollower).map { async { cancelOnceAt(it) } }.awaitAll() }
    }

    /** A status query or a repeated submission finds the cancellation before the controller that committed it has responded. */
    @ParameterizedTest
    @ValueSource(ints = [120, 121, 122, 123])
    fun `no task is started after a status query has told of the cancellation`(seed: Int) = run(seed) {
        refuseLeader()
        if (seed % 2 == 0) world.network.partitioned += leader
        scope.launch {
            repeat(100) {
                world.users.pollAllControllers(job, 1)
                if (it % 10 == 0) world.users.resubmit(job)
                delay(20)
            }
        }
        cancelOnceAt(follower)
    }

    /** A controller that has not read the outcome of the first job for long cancels the dependent jobs right after the commit. */
    @ParameterizedTest
    @ValueSource(ints = [145, 146, 147, 148])
    fun `no task is started after the user of a dependent job was told of the cancellation`(seed: Int) = run(seed, ::askOneFollowerOnly) {
        val dependents = listOf("req-980001" to job.id, "req-980002" to "req-980001").map { (id, dependency) -> dependent(id, dependency) }
        world.users.submitPipeline(dependents)
        while (dependents.any { !it.accepted }) delay(100)
        refuseLeader()
        world.network.partitioned += if (seed % 2 == 0) leader else follower
        val late = dependent("req-980003", job.id)
        world.jobs[late.id] = late
        world.store.onApplied = { _, writes ->
            if (writes.any { it.key == "j/${job.id}" }) {
                dependents.forEach { askUntilTold(it) { world.send(otherFollower, "GET", "/v1/jobs/${it.id}", ByteArray(0)) } }
                askUntilTold(late) { world.send(otherFollower, "POST", "/v1/jobs", Cbor.encode(late.submissionBody())) }
            }
        }
        cancelOnceAt(follower)
        delay(15_000)
        assertEquals(emptyList<String>(), (dependents + late).filter { it.toldCancelledMicros == null }.map { it.id }, "users not told")
        world.users.pollingSuspended = false
    }

    /** The leader resumes with heartbeats and with a watch from before the cancellation. */
    @ParameterizedTest
    @ValueSource(ints = [124, 125, 126, 127])
    fun `no task is started after the confirmation if the leader is paused across it`(seed: Int) = run(seed) {
        scope.launch {
            delay(world.random.nextLong(30))
            world.network.pause(leader, world.random.nextLong(1_000_000, 9_000_000))
        }
        cancelUntilConfirmed()
    }

    @ParameterizedTest
    @ValueSource(ints = [128, 129, 130])
    fun `no task is started after the confirmation if the store has an outage right after the commit`(seed: Int) = run(seed) {
        refuseLeader()
        if (seed % 2 == 0) world.network.partitioned += leader
        world.store.onApplied = { _, writes -> if (writes.any { it.key == "j/${job.id}" }) world.store.startOutage() }
        cancelOnceAt(follower)
        delay(40_000)
        world.store.endOutage()
    }

    /** The commit is carried out at once or late, and its response is lost; the cancellation is repeated at any controller. */
    @ParameterizedTest
    @ValueSource(ints = [131, 132, 133, 134])
    fun `no task is started after the confirmation if the response to the commit is lost`(seed: Int) = run(seed) {
        world.store.lostResponseProbability = 0.7
        world.users.pollAllControllers(job, 50)
        scope.launch {
            delay(4_000)
            refuseLeader()
        }
        cancelUntilConfirmed()
        world.store.lostResponseProbability = 0.0
    }

    @ParameterizedTest
    @ValueSource(ints = [135, 136, 137])
    fun `no task is started after the confirmation if the controller restarts between commit and response`(seed: Int) = run(seed) {
        refuseLeader()
        world.network.partitioned += leader
        scope.launch { cancelAt(follower) }
        delay(60 + world.random.nextLong(2_000))
        restartController(world, follower, 300)
        cancelUntilConfirmed()
    }

    /** Controllers of earlier versions start tasks on a view of up to 4 s and acknowledge nothing. */
    @ParameterizedTest
    @ValueSource(ints = [138, 139, 140])
    fun `no task is started after the confirmation if the leader acknowledges nothing`(seed: Int) =
        run(seed, configure = { it.network.deliversCancellationMessages = false }) {
            refuseLeader()
            cancelOnceAt(follower)
        }

    /** Acknowledgements come late, twice or never, while the leader reads the store late. */
    @ParameterizedTest
    @ValueSource(ints = [141, 142, 143, 144])
    fun `no task is started after the confirmation if messages of peers are late`(seed: Int) = run(seed) {
        world.network.maxPeerLatencyMillis = 3_000
        world.store.maxLatencyMillis = 300
        if (seed % 2 == 0) world.network.messageLossProbability = 0.2
        cancelUntilConfirmed()
        world.network.messageLossProbability = 0.0
        world.store.maxLatencyMillis = 12
    }

    /** One array job that keeps every machine busy with short tasks, so that each heartbeat is an occasion for a start. */
    private class Scenario(val world: SimWorld, val scope: CoroutineScope) {
        val job = arrayJob("req-980000", runMicros = 1_500_000, taskCount = 400)
        val leader = leaderOf(world)
        val follower = (leader + 1) % CONTROLLER_COUNT
        val otherFollower = (leader + 2) % CONTROLLER_COUNT

        fun dependent(id: String, dependency: String) =
            SimJob(id, "north", 2, 1.0, false, false, false, true, 1_000_000, dependencies = listOf(dependency))

        /** Repeats [request] like a user until a response tells that [job] is cancelled. */
        fun askUntilTold(job: SimJob, request: suspend () -> Unit) = scope.launch {
            while (job.toldCancelledMicros == null) {
                request()
                delay(1_000)
            }
        }

        fun refuseLeader() {
            world.store.refusedControllers += "mast-$leader"
        }

        /** Sends one cancellation of [job] to [controller], which has to confirm it while the user waits. */
        suspend fun cancelOnceAt(controller: Int, job: SimJob = this.job) = assertEquals("withdrawn", cancelAt(controller, job))

        /** Sends cancellations to any controllers until one confirms it. */
        suspend fun cancelUntilConfirmed() {
            while (cancelAt(world.random.nextInt(CONTROLLER_COUNT)) != "withdrawn") delay(1_000)
        }

        /** Sends one cancellation to [controller]; returns the status in the response, or null if a user gets none. */
        suspend fun cancelAt(controller: Int, job: SimJob = this.job): String? {
            job.cancelRequested = true
            val response =
                withTimeoutOrNull(USER_PATIENCE_MILLIS) { world.send(controller, "POST", "/v1/jobs/${job.id}/cancel", ByteArray(0)) }
            return response?.let(::statusIn)
        }
    }

    /** Without requests the other follower caches no outcome. */
    private fun askOneFollowerOnly(world: SimWorld) {
        world.users.pollingSuspended = true
        world.users.chooseController = { (leaderOf(world) + 1) % CONTROLLER_COUNT }
    }

    private fun run(seed: Int, configure: (SimWorld) -> Unit = {}, faults: suspend Scenario.() -> Unit) {
        println("seed $seed")
        val world = simulate(seed, configure = configure) { world ->
            delay(5_000)
            val scenario = Scenario(world, backgroundScope)
            world.users.submit(scenario.job, null)
            delay(9_000 + world.random.nextLong(1_000))
            assertTrue(world.startCount > 20, "tasks of the job are started all the time")
            scenario.faults()
            delay(20_000)
            world.store.refusedControllers.clear()
            world.network.partitioned.clear()
            delay(60_000)
            assertEquals("withdrawn", scenario.job.acknowledgedStatus)
        }
        assertEquals(emptyList<Violation>(), world.violations)
    }

    private companion object {
        /** How long a user waits for a response to a cancellation. */
        const val USER_PATIENCE_MILLIS = 5_000L

        fun statusIn(response: HttpResponse): String? = if (response.status == 200) Cbor.decodeMap(response.body).text("status") else null
    }
}
