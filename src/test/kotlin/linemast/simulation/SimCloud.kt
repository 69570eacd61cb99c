package linemast.simulation

import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import linemast.cloud.Cloud
import linemast.cloud.CloudException
import linemast.cloud.ListedMachine
import linemast.cloud.ScaleOutRequest
import linemast.cloud.ScaleOutResult
import linemast.domain.MachineType

/** An order that the cloud has carried out, with the store's revision at that moment. */
class SimCloudAction(
    val controller: Int,
    val scaleOutRequest: ScaleOutRequest?,
    val removedMachines: List<String>,
    val revision: Long,
    val interruptedTasks: List<SimWorker.Task>,
)

/** Stand-in of the cloud: a list that lags, rentals up to a capacity, returns that are final, orders that come late. */
class SimCloud(private val world: SimWorld, private val types: List<MachineType>) {
    private class Snapshot(val micros: Long, val machines: List<ListedMachine>)

    private val snapshots = ArrayList<Snapshot>()
    private val grantedMachines = HashMap<String, List<String>>()

    /** All orders that were carried out. */
    val actions = ArrayList<SimCloudAction>()

    /** Share of orders that get no answer and are carried out later, after a time within [lateActionDelayMillis]. */
    var lateActionProbability = 0.0
    var lateActionDelayMillis = 0L..20_000L

    /** Told which controller is about to send an order, and whether that is a return. */
    var onAction: (controller: Int, isScaleIn: Boolean) -> Unit = { _, _ -> }

    /** Share of orders that are carried out and whose answer is lost. */
    var lostResponseProbability = 0.05

    /** The cloud as the controller [controller] reaches it. */
    fun clientOf(controller: Int): Cloud = Client(controller)

    private fun list(): List<ListedMachine> {
        val now = world.clock.nowMicros()
        snapshots += Snapshot(now, world.workers.values.map { it.toListedMachine(now) })
        snapshots.removeIf { it.micros < now - 60_000_000 }
        return (snapshots.lastOrNull { it.micros <= now - LIST_LAG_MICROS } ?: snapshots.first()).machines
    }

    private fun scaleOut(controller: Int, request: ScaleOutRequest): ScaleOutResult {
        grantedMachines[request.requestId]?.let { return ScaleOutResult.Granted(it) }
        val freeCount = world.maxMachines - world.workers.size
        if (freeCount <= 0) return ScaleOutResult.NoCapacity
        val type = types.first { it.name == request.machineType }
        val names = List(minOf(freeCount, request.machineCount)) { world.addMachine(type, request.zone, request.spot).name }
        grantedMachines[request.requestId] = names
        actions += SimCloudAction(controller, request, emptyList(), world.store.revision, emptyList())
        return ScaleOutResult.Granted(names)
    }

    private fun scaleIn(controller: Int, names: List<String>) {
        val known = names.filter { it in world.workers }
        val interruptedTasks = known.flatMap { world.workers.getValue(it).tasks.values }.filter { it.status != "ended" }
        if (known.isNotEmpty()) actions += SimCloudAction(controller, null, known, world.store.revision, interruptedTasks)
        known.forEach(world::removeMachine)
    }

    private inner class Client(private val controller: Int) : Cloud {
        /** An order leaves a controller that stands still only when it goes on, and may then be held up on its way. */
        private suspend fun <T> callCloud(isScaleIn: Boolean, execute: () -> T): T {
            onAction(controller, isScaleIn)
            world.network.awaitResume(controller)
            if (lateActionProbability > 0 && world.random.nextDouble() < lateActionProbability) {
                world.scope.launch {
                    delay(lateActionDelayMillis.random(world.random))
                    execute()
                }
                delay(TIMEOUT_MILLIS)
                throw CloudException.NoResponse("no answer")
            }
            delay(LATENCY_MILLIS)
            val result = execute()
            if (world.random.nextDouble() < lostResponseProbability) throw CloudException.NoResponse("no answer")
            return result
        }

        override suspend fun listMachineTypes(): List<MachineType> {
            delay(LATENCY_MILLIS)
            return types
        }

        override suspend fun listMachines(): List<ListedMachine> {
            delay(LATENCY_MILLIS)
            return list()
        }

        override suspend fun scaleOut(request: ScaleOutRequest): ScaleOutResult = try {
            callCloud(isScaleIn = false) { scaleOut(controller, request) }
        } catch (e: CloudException) {
            ScaleOutResult.Unknown
        }

        override suspend fun scaleIn(names: List<String>) = callCloud(isScaleIn = true) { scaleIn(controller, names) }
    }

    private companion object {
        const val LATENCY_MILLIS = 100L
        const val TIMEOUT_MILLIS = 5_000L
        const val LIST_LAG_MICROS = 5_000_000L
    }
}
