package linemast.cloud

import linemast.domain.Machine
import linemast.domain.MachineShape
import linemast.domain.MachineType
import linemast.planning.ScaleOutDemand
import linemast.settings.Policy
import linemast.settings.Settings
import org.slf4j.LoggerFactory

/**
 * Holds the machines known in one leader's term, and decides which to scale out and in. Makes no calls and is not thread-safe.
 *
 * Events from the cloud update the [CloudMachineInventory], from which [planScaleOut] and [planScaleIn] make their decisions.
 */
class Fleet(settings: Settings, policy: Policy, fencingToken: Long) {
    private val log = LoggerFactory.getLogger(Fleet::class.java)
    private val inventory = CloudMachineInventory(settings.cloudLimits.listLagMicros)
    private val backOff = CapacityBackOff()
    private val scaleOutPlanner = ScaleOutPlanner(scaleOutLimits(settings, policy), inventory, backOff, fencingToken)
    private val scaleInPolicy = ScaleInPolicy(settings.workers, policy)

    /** All machines that the cloud has granted or listed, by name. */
    val machines: Map<String, CloudMachine> get() = inventory.machines

    /** Names of the baseline machines; null until they are known. */
    var baselineMachines: Set<String>? by inventory::baselineMachines

    /** Whether the cloud's list has arrived at least once in this term. */
    val hasMachineList: Boolean get() = inventory.hasMachineList

    /** Whether some demand is not requested yet because too many requests are in flight. */
    val hasDeferredDemand: Boolean get() = scaleOutPlanner.hasDeferredDemand

    /** Merges the cloud's machine [list] into the known machines. */
    fun updateFromList(list: List<ListedMachine>, types: Map<String, MachineType>, nowMicros: Long) =
        inventory.updateFromList(list, types, nowMicros)

    /** Counts a previous leader's [request] as pending until its outcome is known. */
    fun addPendingScaleOut(request: ScaleOutRequest) = scaleOutPlanner.addPending(request)

    /** Marks the machines [names], whose scale-in a previous leader has decided. */
    fun markScalingIn(names: Collection<String>) = inventory.markScalingIn(names)

    /** Records that the cloud has granted the machines [names] to [request], possibly fewer than requested. */
    fun recordScaleOutGranted(request: ScaleOutRequest, names: List<String>, types: Map<String, MachineType>, nowMicros: Long) {
        scaleOutPlanner.removePending(request)
        val type = types[request.machineType] ?: return
        inventory.addGranted(names, type, request.zone, request.spot, nowMicros)
        log.info(
            "scaled out: {} of {} machines of type {} in zone {}{}",
            names.size,
            request.machineCount,
            request.machineType,
            request.zone,
            spotSuffix(request.spot),
        )
        val shape = MachineShape(type, request.zone, request.spot)
        if (names.size < request.machineCount) backOff.recordRefusal(shape, nowMicros) else backOff.recordGrant(shape)
    }

    /** Records that the cloud has no capacity for [request]; its machine shape is not requested again during a back-off. */
    fun recordScaleOutRefused(request: ScaleOutRequest, types: Map<String, MachineType>, nowMicros: Long) {
        scaleOutPlanner.removePending(request)
        log.debug("no capacity for machine type {} in zone {}{}", request.machineType, request.zone, spotSuffix(request.spot))
        val type = types[request.machineType] ?: return
        backOff.recordRefusal(MachineShape(type, request.zone, request.spot), nowMicros)
    }

    /** Records that [request] is abandoned; machines that the cloud granted to it anyway will appear in the cloud's list. */
    fun recordScaleOutAbandoned(request: ScaleOutRequest) = scaleOutPlanner.removePending(request)

    /** Records that the cloud has confirmed the scale-in of the machines [names]. */
    fun recordScaleInConfirmed(names: Collection<String>) = inventory.remove(names)

    /** Returns requests that would meet [demands]; each is pending until one of the `recordScaleOut...` functions reports its outcome. */
    fun planScaleOut(
        demands: List<ScaleOutDemand>,
        types: Collection<MachineType>,
        workers: Map<String, Machine>,
        constraints: ScaleOutConstraints,
        nowMicros: Long,
    ): List<ScaleOutRequest> = scaleOutPlanner.plan(demands, types, workers, constraints, nowMicros)

    /**
     * Returns the machines to scale in now, each with the reason.
     *
     * [isNeeded] tells whether a plan still has work for a machine. If [demandCeased], idle machines are not kept for further jobs.
     */
    fun planScaleIn(workers: Map<String, Machine>, isNeeded: (Machine) -> Boolean, demandCeased: Boolean, nowMicros: Long): ScaleInBatch {
        val reportingZones = scaleInPolicy.reportingZones(workers, nowMicros)
        val conditions = ScaleInPolicy.Conditions(isNeeded, demandCeased, reportingZones, nowMicros)
        val reasons = LinkedHashMap<String, ScaleInReason>()
        for (machine in machines.values) {
            if (machine.isScalingIn) continue
            val reason = scaleInPolicy.reason(machine, workers[machine.name], isBaseline(machine.name), conditions) ?: continue
            reasons[machine.name] = reason
        }
        return ScaleInBatch(reasons)
    }

    /** Whether machine [name] is neither listed nor just granted by the cloud, or is listed as failed. */
    fun isAbsentOrFailed(name: String): Boolean = inventory.isAbsentOrFailed(name)

    /** Whether machine [name] is a baseline machine; all machines count as baseline machines until the baseline is known. */
    fun isBaseline(name: String): Boolean = inventory.isBaseline(name)

    private fun spotSuffix(spot: Boolean) = if (spot) " (spot)" else ""

    private companion object {
        const val MIN_PENDING_REQUESTS = 2

        /**
         * Returns the limits of scale-outs. No more requests are in flight than the cloud accepts in a second: each request is
         * then based on what is known when it is sent, rather than on what was known when it joined a queue.
         */
        fun scaleOutLimits(settings: Settings, policy: Policy) = ScaleOutLimits(
            maxPendingRequests = Math.ceil(settings.cloudLimits.rps).toInt().coerceAtLeast(MIN_PENDING_REQUESTS),
            maxVcpus = policy.maxScaleOutVcpus,
            defaultZones = settings.zones,
        )
    }
}
