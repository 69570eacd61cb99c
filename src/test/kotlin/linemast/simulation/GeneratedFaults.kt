package linemast.simulation

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope

private const val FAULTS_MILLIS = 240_000L

/** Injects random faults for four minutes, one after another and overlapping, then waits for the longest to end. */
internal suspend fun TestScope.injectGeneratedFaults(world: SimWorld) {
    world.network.loss = 0.02
    world.network.lateCopies = 0.05
    world.users.cancelledAtEnd = 0.2
    world.store.lostAnswers = 0.02
    world.store.repeats = 0.05
    backgroundScope.launch {
        delay(world.random.nextLong(FAULTS_MILLIS))
        world.store.valueBytes = 1_536
        world.store.txnOps = 5
    }
    while (testScheduler.currentTime < FAULTS_MILLIS) {
        delay(world.random.nextLong(2_000, 9_000))
        injectFault(world, backgroundScope)
    }
    world.network.loss = 0.0
    world.network.lateCopies = 0.0
    world.store.lostAnswers = 0.0
    world.store.repeats = 0.0
    world.users.cancelledAtEnd = 0.0
    // The longest fault that may still be on.
    delay(45_000)
    world.checks.calmSinceMicros = world.clock.nowMicros()
}

private fun injectFault(world: SimWorld, scope: CoroutineScope) {
    val random = world.random
    val node = random.nextInt(CONTROLLERS)
    val machine = world.workers.values.randomOrNull(random) ?: return
    val faults = FaultInjector(world, scope, node, machine)
    when (random.nextInt(20)) {
        0, 1 -> faults.restartController()
        2 -> faults.restartAllControllers(500L..3_999L)
        3 -> faults.storeOutage()
        4 -> faults.storeRefusesController()
        5 -> faults.controllerUnreachable()
        6 -> faults.hang(machine)
        7 -> faults.machineLost()
        8 -> faults.tasksFail()
        9 -> faults.answersLost()
        10 -> faults.controllerPartitioned()
        11 -> faults.controllerUnreachableForWorkers()
        12 -> faults.restartAllControllers(30L..399L)
        13 -> machine.reboot()
        14 -> world.network.freeze(node, random.nextLong(1_000_000, 25_000_000))
        15 -> faults.machineUnreachable()
        16 -> faults.cancellationsWhileMachinesHang()
        17 -> scope.launch { repeat(5) { world.users.sendUnusualRequests() } }
        18 -> faults.watchesHang()
        19 -> faults.refusalThenOutage()
    }
}

/** Faults of one moment: [node] is the controller and [machine] the machine that they befall, where they befall one. */
private class FaultInjector(
    private val world: SimWorld,
    private val scope: CoroutineScope,
    private val node: Int,
    private val machine: SimWorker,
) {
    private val random = world.random
    private val store = world.store
    private val network = world.network

    fun restartController() {
        scope.launch { restart(world, node, random.nextLong(100, 4_000)) }
    }

    fun restartAllControllers(afterMillis: LongRange) = repeat(CONTROLLERS) { at ->
        scope.launch { restart(world, at, random.nextLong(afterMillis.first, afterMillis.last + 1)) }
    }

    fun storeOutage() {
        if (store.outage) return
        scope.launch {
            store.startOutage()
            delay(random.nextLong(2_000, 25_000))
            store.endOutage()
        }
    }

    fun storeRefusesController() {
        scope.launch {
            store.refused += "mast-$node"
            delay(random.nextLong(3_000, 20_000))
            store.refused -= "mast-$node"
        }
    }

    fun controllerUnreachable() {
        scope.launch {
            network.unreachable += node
            delay(random.nextLong(3_000, 20_000))
            network.unreachable -= node
        }
    }

    fun hang(machine: SimWorker) {
        machine.hungUntilMicros = world.clock.nowMicros() + random.nextLong(1_000_000, 20_000_000)
    }

    fun machineLost() {
        if (world.workers.size > 4) world.removeMachine(machine.name)
    }

    fun tasksFail() {
        scope.launch {
            machine.sick = true
            delay(random.nextLong(5_000, 20_000))
            machine.sick = false
        }
    }

    fun answersLost() {
        scope.launch {
            machine.deaf = true
            delay(random.nextLong(5_000, 40_000))
            machine.deaf = false
        }
    }

    /** The store and the other controllers are lost, the workers are not. */
    fun controllerPartitioned() {
        scope.launch {
            store.refused += "mast-$node"
            network.partitioned += node
            delay(random.nextLong(5_000, 40_000))
            network.partitioned -= node
            store.refused -= "mast-$node"
        }
    }

    fun controllerUnreachableForWorkers() {
        scope.launch {
            network.unreachableForWorkers += node
            delay(random.nextLong(5_000, 30_000))
            network.unreachableForWorkers -= node
        }
    }

    fun machineUnreachable() {
        scope.launch {
            machine.mute = true
            delay(random.nextLong(5_000, 40_000))
            machine.mute = false
        }
    }

    private fun cancellableJobs() = world.jobs.values.filter { it.accepted && !it.cancelAsked && it.acknowledgedStatus == null }

    /** Jobs that run are cancelled at once, and some of their machines hang. */
    fun cancellationsWhileMachinesHang() {
        val victims = cancellableJobs().shuffled(random).take(2)
        victims.forEach { world.users.cancel(it, random.nextLong(200)) }
        val machines = world.workers.values.filter { worker -> worker.tasks.values.any { task -> victims.any { it.id == task.job } } }
        machines.take(3).forEach(::hang)
    }

    fun watchesHang() {
        scope.launch {
            store.watchesHang += "mast-$node"
            delay(random.nextLong(3_000, 30_000))
            store.watchesHang -= "mast-$node"
        }
    }

    /** The leader alone is refused, then an outage for longer than a cancellation has, with cancellations between the two. */
    fun refusalThenOutage() {
        if (store.outage) return
        scope.launch {
            val leader = "mast-${leaderOf(world)}"
            store.refused += leader
            cancellableJobs().take(1).forEach { world.users.cancel(it, random.nextLong(1_000)) }
            delay(random.nextLong(500, 6_000))
            store.refused -= leader
            if (store.outage) return@launch
            store.startOutage()
            delay(random.nextLong(20_000, 45_000))
            store.endOutage()
        }
    }
}
