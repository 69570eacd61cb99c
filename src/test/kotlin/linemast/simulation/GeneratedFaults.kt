package linemast.simulation

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope

private const val FAULT_PERIOD_MILLIS = 240_000L

/** Injects random, partly overlapping faults for four minutes, and waits 45 s for the last ones to end. */
internal suspend fun TestScope.injectGeneratedFaults(world: SimWorld) {
    world.network.messageLossProbability = 0.02
    world.network.delayedDuplicateProbability = 0.05
    world.users.cancelAtCompletionProbability = 0.2
    world.store.lostResponseProbability = 0.02
    world.store.delayedDuplicateProbability = 0.05
    backgroundScope.launch {
        // Lowers the limits of the store at a random time.
        delay(world.random.nextLong(FAULT_PERIOD_MILLIS))
        world.store.maxValueBytes = 1_536
        world.store.maxTransactionOperations = 5
    }
    while (testScheduler.currentTime < FAULT_PERIOD_MILLIS) {
        delay(world.random.nextLong(2_000, 9_000))
        injectFault(world, backgroundScope)
    }
    world.network.messageLossProbability = 0.0
    world.network.delayedDuplicateProbability = 0.0
    world.store.lostResponseProbability = 0.0
    world.store.delayedDuplicateProbability = 0.0
    world.users.cancelAtCompletionProbability = 0.0
    // An outage of the store takes up to 45 s and may have begun just now. An outage that refuseLeaderThenStartOutage has yet to start
    // begins up to 6 s later, and may last beyond this wait.
    delay(45_000)
    world.checks.faultFreeSinceMicros = world.clock.nowMicros()
}

/** Injects one random fault. */
private fun injectFault(world: SimWorld, scope: CoroutineScope) {
    val random = world.random
    val controller = random.nextInt(CONTROLLER_COUNT)
    val machine = world.workers.values.randomOrNull(random) ?: return
    val injector = FaultInjector(world, scope, controller, machine)
    when (random.nextInt(20)) {
        0, 1 -> injector.restartOneController()
        2 -> injector.restartAllControllers(500L..3_999L)
        3 -> injector.startStoreOutage()
        4 -> injector.refuseControllerAtStore()
        5 -> injector.makeControllerUnreachable()
        6 -> injector.pauseWorker(machine)
        7 -> injector.loseMachine()
        8 -> injector.failTasks()
        9 -> injector.loseResponses()
        10 -> injector.partitionController()
        11 -> injector.makeControllerUnreachableForWorkers()
        12 -> injector.restartAllControllers(30L..399L)
        13 -> machine.reboot()
        14 -> world.network.pause(controller, random.nextLong(1_000_000, 25_000_000))
        15 -> injector.partitionMachine()
        16 -> injector.cancelJobsWhileWorkersPause()
        17 -> scope.launch { repeat(5) { world.users.sendUnusualRequests() } }
        18 -> injector.hangWatches()
        19 -> injector.refuseLeaderThenStartOutage()
    }
}

/** Injects single faults; those of one controller affect [controller], those of one machine affect [machine]. */
private class FaultInjector(
    private val world: SimWorld,
    private val scope: CoroutineScope,
    private val controller: Int,
    private val machine: SimWorker,
) {
    private val random = world.random
    private val store = world.store
    private val network = world.network

    fun restartOneController() {
        scope.launch { restartController(world, controller, random.nextLong(100, 4_000)) }
    }

    fun restartAllControllers(afterMillis: LongRange) = repeat(CONTROLLER_COUNT) { controller ->
        scope.launch { restartController(world, controller, random.nextLong(afterMillis.first, afterMillis.last + 1)) }
    }

    fun startStoreOutage() {
        if (store.outage) return
        scope.launch {
            store.startOutage()
            delay(random.nextLong(2_000, 25_000))
            store.endOutage()
        }
    }

    fun refuseControllerAtStore() {
        scope.launch {
            store.refusedControllers += "mast-$controller"
            delay(random.nextLong(3_000, 20_000))
            store.refusedControllers -= "mast-$controller"
        }
    }

    fun makeControllerUnreachable() {
        scope.launch {
            network.unreachable += controller
            delay(random.nextLong(3_000, 20_000))
            network.unreachable -= controller
        }
    }

    fun pauseWorker(worker: SimWorker) {
        worker.pausedUntilMicros = world.clock.nowMicros() + random.nextLong(1_000_000, 20_000_000)
    }

    fun loseMachine() {
        if (world.workers.size > 4) world.removeMachine(machine.name)
    }

    fun failTasks() {
        scope.launch {
            machine.failsTasks = true
            delay(random.nextLong(5_000, 20_000))
            machine.failsTasks = false
        }
    }

    fun loseResponses() {
        scope.launch {
            machine.losesResponses = true
            delay(random.nextLong(5_000, 40_000))
            machine.losesResponses = false
        }
    }

    /** Separates the controller from the store and the other controllers, but not from workers and users. */
    fun partitionController() {
        scope.launch {
            store.refusedControllers += "mast-$controller"
            network.partitioned += controller
            delay(random.nextLong(5_000, 40_000))
            network.partitioned -= controller
            store.refusedControllers -= "mast-$controller"
        }
    }

    fun makeControllerUnreachableForWorkers() {
        scope.launch {
            network.unreachableForWorkers += controller
            delay(random.nextLong(5_000, 30_000))
            network.unreachableForWorkers -= controller
        }
    }

    fun partitionMachine() {
        scope.launch {
            machine.isPartitioned = true
            delay(random.nextLong(5_000, 40_000))
            machine.isPartitioned = false
        }
    }

    private fun cancellableJobs() = world.jobs.values.filter { it.accepted && !it.cancelRequested && it.acknowledgedStatus == null }

    /** Cancels two unfinished jobs within 200 ms and pauses up to three workers that hold their tasks. */
    fun cancelJobsWhileWorkersPause() {
        val cancelledJobs = cancellableJobs().shuffled(random).take(2)
        cancelledJobs.forEach { world.users.cancel(it, random.nextLong(200)) }
        val machines = world.workers.values.filter { worker -> worker.tasks.values.any { task -> cancelledJobs.any { it.id == task.job } } }
        machines.take(3).forEach(::pauseWorker)
    }

    fun hangWatches() {
        scope.launch {
            store.controllersWithHangingWatches += "mast-$controller"
            delay(random.nextLong(3_000, 30_000))
            store.controllersWithHangingWatches -= "mast-$controller"
        }
    }

    /**
     * Makes the store refuse the leader only, cancels a job, and starts an outage of the store that may last longer than the time
     * limit for cancellations.
     */
    fun refuseLeaderThenStartOutage() {
        if (store.outage) return
        scope.launch {
            val leader = "mast-${leaderOf(world)}"
            store.refusedControllers += leader
            cancellableJobs().take(1).forEach { world.users.cancel(it, random.nextLong(1_000)) }
            delay(random.nextLong(500, 6_000))
            store.refusedControllers -= leader
            if (store.outage) return@launch
            store.startOutage()
            delay(random.nextLong(20_000, 45_000))
            store.endOutage()
        }
    }
}
