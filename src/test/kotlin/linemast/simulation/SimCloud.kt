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
class SimOrder(
    val node: Int,
    val rental: ScaleOutRequest?,
    val returned: List<String>,
    val revision: Long,
    val interrupted: List<SimWorker.Task>,
)

/** Stand-in of the cloud: a list that lags, rentals up to a capacity, returns that are final, orders that come late. */
class SimCloud(private val world: SimWorld, private val types: List<MachineType>) {
    private class Snapshot(val micros: Long, val machines: List<ListedMachine>)

    private val history = ArrayList<Snapshot>()
    private val requestCount = HashMap<String, List<String>>()

    /** All orders that were carried out. */
    val orders = ArrayList<SimOrder>()

    /** Share of orders that get no answer and are carried out later, after a time within [lateMillis]. */
    var lateOrders = 0.0
    var lateMillis = 0L..20_000L

    /** Told which controller is about to send an order, and whether that is a return. */
    var onOrder: (node: Int, isReturn: Boolean) -> Unit = { _, _ -> }

    /** Share of orders that are carried out and whose answer is lost. */
    var lostAnswers = 0.05

    /** The cloud as the controller [node] reaches it. */
    fun clientOf(node: Int): Cloud = Client(node)

    private fun list(): List<ListedMachine> {
        val now = world.clock.nowMicros()
        history += Snapshot(now, world.workers.values.map { it.listed(now) })
        history.removeIf { it.micros < now - 60_000_000 }
        return (history.lastOrNull { it.micros <= now - LAG_MICROS } ?: history.first()).machines
    }

    private fun scaleOut(node: Int, request: ScaleOutRequest): ScaleOutResult {
        requestCount[request.requestId]?.let { return ScaleOutResult.Granted(it) }
        val room = world.maxMachines - world.workers.size
        if (room <= 0) return ScaleOutResult.NoCapacity
        val type = types.first { it.name == request.machineType }
        val names = List(minOf(room, request.machineCount)) { world.addMachine(type, request.zone, request.spot).name }
        requestCount[request.requestId] = names
        orders += SimOrder(node, request, emptyList(), world.store.revision, emptyList())
        return ScaleOutResult.Granted(names)
    }

    private fun scaleIn(node: Int, names: List<String>) {
        val known = names.filter { it in world.workers }
        val interrupted = known.flatMap { world.workers.getValue(it).tasks.values }.filter { it.status != "ended" }
        if (known.isNotEmpty()) orders += SimOrder(node, null, known, world.store.revision, interrupted)
        known.forEach(world::removeMachine)
    }

    private inner class Client(private val node: Int) : Cloud {
        /** An order leaves a controller that stands still only when it goes on, and may then be held up on its way. */
        private suspend fun <T> order(isReturn: Boolean, carryOut: () -> T): T {
            onOrder(node, isReturn)
            world.network.awaitThaw(node)
            if (lateOrders > 0 && world.random.nextDouble() < lateOrders) {
                world.scope.launch {
                    delay(lateMillis.random(world.random))
                    carryOut()
                }
                delay(TIMEOUT_MILLIS)
                throw CloudException.NoResponse("no answer")
            }
            delay(LATENCY_MILLIS)
            val result = carryOut()
            if (world.random.nextDouble() < lostAnswers) throw CloudException.NoResponse("no answer")
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
            order(isReturn = false) { scaleOut(node, request) }
        } catch (e: CloudException) {
            ScaleOutResult.Unknown
        }

        override suspend fun scaleIn(names: List<String>) = order(isReturn = true) { scaleIn(node, names) }
    }

    private companion object {
        const val LATENCY_MILLIS = 100L
        const val TIMEOUT_MILLIS = 5_000L
        const val LAG_MICROS = 5_000_000L
    }
}
