package linemast.cloud

import linemast.domain.DrainReason
import linemast.domain.Job
import linemast.domain.Machine
import linemast.domain.MachineShape
import linemast.domain.MachineType
import linemast.planning.ScaleOutDemand

/**
 * Turns the demand for machines into requests to the cloud, given the machines that already exist or are requested.
 *
 * Request ids contain the leader's [fencingToken], so that those of different leaders never clash.
 */
internal class ScaleOutPlanner(
    private val limits: ScaleOutLimits,
    private val inventory: CloudMachineInventory,
    private val backOff: CapacityBackOff,
    private val fencingToken: Long,
) {
    private class MachineBatch(val shape: MachineShape, val count: Int)

    private class PricedShape(val shape: MachineShape, val pricePerSlot: Double)

    private val pendingRequests = LinkedHashMap<String, ScaleOutRequest>()
    private var lastRequestNumber = 0L

    /** Whether some demand is not requested yet because of the limit on pending requests. */
    var hasDeferredDemand = false
        private set

    /** Counts the machines of [request] as supply until [removePending] is called for it. */
    fun addPending(request: ScaleOutRequest) {
        pendingRequests[request.requestId] = request
    }

    /** Removes [request] from the pending ones, after its response has arrived or the request is abandoned. */
    fun removePending(request: ScaleOutRequest) {
        pendingRequests.remove(request.requestId)
    }

    /** Returns requests that would meet [demands], in the order of [demands]; these requests are pending from now on. */
    fun plan(
        demands: List<ScaleOutDemand>,
        types: Collection<MachineType>,
        workers: Map<String, Machine>,
        constraints: ScaleOutConstraints,
        nowMicros: Long,
    ): List<ScaleOutRequest> {
        val supply = supply(types, workers, nowMicros)
        val baselineShapes = usableBaselineShapes(workers.values, nowMicros)
        val machinesByShape = LinkedHashMap<MachineShape, Int>()
        var usedVcpus = supply.sumOf { it.machines * it.shape.type.vcpus }
        for (demand in demands) {
            val job = demand.job
            val needsFirstMachine = demand.slots < MIN_SLOTS && job.pendingCount > 0 && noneCanRun(job, supply, baselineShapes, constraints)
            val slots = unmetSlots(job, if (needsFirstMachine) 1.0 else demand.slots, supply, constraints)
            if (slots < MIN_SLOTS) continue
            val shape = availableShapes(job, types, nowMicros).firstOrNull { !constraints.isExcluded(it.type, it.spot, job) } ?: continue
            val neededMachines = Math.ceil(slots / slotsPerMachine(shape.type, job) - SLOT_EPSILON).toInt()
            val count = minOf(neededMachines, ((limits.maxVcpus - usedVcpus) / shape.type.vcpus).toInt())
            if (count <= 0) continue
            // Demand is met only by what the cloud grants; after a refusal the next shape is requested soon.
            machinesByShape.merge(shape, count, Int::plus)
            usedVcpus += count * shape.type.vcpus
            supply += requestedSupply(shape, count, job, slots)
        }
        return createPermittedRequests(machinesByShape)
    }

    /** Returns how many of [wantedSlots] for tasks of [job] the [supply] has no capacity for. */
    private fun unmetSlots(job: Job, wantedSlots: Double, supply: List<MachineSupply>, constraints: ScaleOutConstraints): Double {
        var slots = minOf(wantedSlots, constraints.maxSlots(job))
        if (slots < MIN_SLOTS) return slots
        for (machines in supply) {
            if (!constraints.isExcluded(machines.shape.type, machines.shape.spot, job)) slots -= machines.pack(job, slots)
        }
        return slots
    }

    /** Whether no machine, existing or requested, can run tasks of [job]. Then little work, a fraction of a slot, is demand too. */
    private fun noneCanRun(
        job: Job,
        supply: List<MachineSupply>,
        baselineShapes: Set<MachineShape>,
        constraints: ScaleOutConstraints,
    ): Boolean = (supply.asSequence().map { it.shape } + baselineShapes).none { shape ->
        shape.allows(job.spec) && !constraints.isExcluded(shape.type, shape.spot, job)
    }

    /** Returns the shapes of the baseline machines that run tasks now or will do so without a request: a quarantine ends by itself. */
    private fun usableBaselineShapes(workers: Collection<Machine>, nowMicros: Long): Set<MachineShape> = workers
        .filter { inventory.isBaseline(it.name) && nowMicros < it.leaseEndMicros }
        .filter { !it.isDraining || it.drainReason == DrainReason.QUARANTINED }
        .mapTo(HashSet()) { it.shape }

    private fun requestedSupply(shape: MachineShape, count: Int, job: Job, slots: Double): MachineSupply {
        val supply = MachineSupply(shape)
        supply.add(count)
        supply.pack(job, slots)
        return supply
    }

    /** Creates as many requests as may be in flight; the remaining demand is deferred to the next plan. */
    private fun createPermittedRequests(machinesByShape: Map<MachineShape, Int>): List<ScaleOutRequest> {
        val batches = machinesByShape.flatMap { (shape, count) -> requestSizes(count).map { MachineBatch(shape, it) } }
        val permitted = (limits.maxPendingRequests - pendingRequests.size).coerceAtLeast(0)
        hasDeferredDemand = batches.size > permitted
        return batches.take(permitted).map(::createRequest).onEach(::addPending)
    }

    private fun requestSizes(count: Int): List<Int> =
        (0 until count step MAX_MACHINES_PER_SCALE_OUT_REQUEST).map { start -> minOf(count - start, MAX_MACHINES_PER_SCALE_OUT_REQUEST) }

    private fun createRequest(batch: MachineBatch): ScaleOutRequest {
        val shape = batch.shape
        return ScaleOutRequest("r-$fencingToken-${++lastRequestNumber}", shape.type.name, shape.zone, shape.spot, batch.count)
    }

    private fun supply(types: Collection<MachineType>, workers: Map<String, Machine>, nowMicros: Long): MutableList<MachineSupply> {
        val supply = LinkedHashMap<MachineShape, MachineSupply>()
        for (machine in inventory.machines.values) {
            if (!isUsable(machine, workers[machine.name], nowMicros)) continue
            supply.getOrPut(machine.shape) { MachineSupply(machine.shape) }.add(1)
        }
        for (request in pendingRequests.values) {
            val type = types.firstOrNull { it.name == request.machineType } ?: continue
            val shape = MachineShape(type, request.zone, request.spot)
            supply.getOrPut(shape) { MachineSupply(shape) }.add(request.machineCount)
        }
        // Small machines first, so that large ones stay available to jobs that need them.
        return supply.values.sortedBy { it.shape.type.vcpus }.toMutableList()
    }

    /** Whether [machine] is beyond the baseline and can run tasks now or once it has started. */
    private fun isUsable(machine: CloudMachine, worker: Machine?, nowMicros: Long): Boolean {
        if (inventory.isBaseline(machine.name) || machine.isScalingIn || machine.status == CloudMachine.FAILED) return false
        if (worker == null) return nowMicros - machine.createdMicros <= MAX_STARTUP_FACTOR * machine.type.startupMicros
        return !worker.isDraining && worker.unacknowledgedSinceMicros <= 0
    }

    /** Returns the shapes that fit [job] and are not in a back-off for lack of capacity, ordered by price per task, cheapest first. */
    private fun availableShapes(job: Job, types: Collection<MachineType>, nowMicros: Long): List<MachineShape> = types
        .filter { it.canHost(job.spec) }
        .flatMap { pricedShapes(it, job) }
        .filter { backOff.isAvailable(it.shape, nowMicros) }
        .sortedBy { it.pricePerSlot }
        .map { it.shape }

    private fun pricedShapes(type: MachineType, job: Job): List<PricedShape> {
        val spec = job.spec
        val slots = slotsPerMachine(type, job)
        val zones = type.zones.ifEmpty { limits.defaultZones }.filter { spec.zone == null || it == spec.zone }
        return zones.flatMap { zone ->
            val onDemand = PricedShape(MachineShape(type, zone, spot = false), type.price / slots)
            val spot = PricedShape(MachineShape(type, zone, spot = true), type.spotPrice / slots)
            if (spec.allowsSpot) listOf(onDemand, spot) else listOf(onDemand)
        }
    }

    private companion object {
        /** Fewer slots than this are a rounding error and no demand. */
        const val MIN_SLOTS = 0.5

        /** The cloud's limit on the number of machines in one scale-out request. */
        const val MAX_MACHINES_PER_SCALE_OUT_REQUEST = 50

        /** A machine whose worker has not reported counts as supply for this many times its usual startup time. */
        const val MAX_STARTUP_FACTOR = 2
    }
}
