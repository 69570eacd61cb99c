package linemast.simulation

import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import linemast.cloud.Cloud
import linemast.cloud.CloudException
import linemast.cloud.ListedMachine
import linemast.cloud.ScaleOutRequest
import linemast.cloud.ScaleOutResult
import linemast.domain.MachineType

/** A scale-out or scale-in that the cloud has carried out. */
class SimCloudAction(
    /** Index of the controller that sent the call. */
    val controller: Int,
    /** Null for a scale-in. */
    val scaleOutRequest: ScaleOutRequest?,
    /** Empty for a scale-out. */
    val removedMachines: List<String>,
    /** Revision of the store when the cloud carried the action out. */
    val revision: Long,
    /** Tasks on the removed machines that had not ended. */
    val interruptedTasks: List<SimWorker.Task>,
)

/**
 * Simulated cloud: its machine list lags, it grants machines up to a capacity, a scale-in is final, and a call may be carried
 * out late or lose its response.
 */
class SimCloud(private val world: SimWorld, private val types: List<MachineType>) {
    private class Snapshot(val micros: Long, val machines: List<ListedMachine>)

    private val snapshots = ArrayList<Snapshot>()
    private val grantedMachines = HashMap<String, List<String>>()

    /** All actions that the cloud has carried out, in order. */
    val actions = ArrayList<SimCloudAction>()

    /** Probability that a call gets no response and is carried out after a delay drawn from [lateActionDelayMillis]. */
    var lateActionProbability = 0.0

    /** Range of the delay of late actions. */
    var lateActionDelayMillis = 0L..20_000L

    /** Called when a controller is about to send a scale-out or a scale-in. */
    var onAction: (controller: Int, isScaleIn: Boolean) -> Unit = { _, _ -> }

    /** Probability that a call is carried out and its response is lost. */
    var lostResponseProbability = 0.05

    /** Returns the client through which [controller] calls the cloud. */
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
        /**
         * Sends a scale-out or a scale-in, which the cloud carries out by [execute]. A paused controller sends the call only when it
         * resumes; the call may be delayed after that.
         */
        private suspend fun <T> callCloud(isScaleIn: Boolean, execute: () -> T): T {
            onAction(controller, isScaleIn)
            world.network.awaitResume(controller)
            if (lateActionProbability > 0 && world.random.nextDouble() < lateActionProbability) {
                world.scope.launch {
                    delay(lateActionDelayMillis.random(world.random))
                    execute()
                }
                delay(TIMEOUT_MILLIS)
                throw CloudException.NoResponse("no response")
            }
            delay(LATENCY_MILLIS)
            val result = execute()
            if (world.random.nextDouble() < lostResponseProbability) throw CloudException.NoResponse("no response")
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
