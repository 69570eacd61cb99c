package linemast.cloud

import linemast.domain.Machine
import linemast.domain.MachineShape
import linemast.domain.MachineType
import linemast.planning.ScaleOutDemand
import linemast.settings.Policy
import linemast.settings.Settings
import org.slf4j.LoggerFactory

/**
 * The machines of one leader's term and the decisions to add and remove some. Makes no calls and is not thread-safe.
 *
 * Events from the cloud update the [CloudMachineInventory]; [planScaleOut] and [planScaleIn] decide from it.
 */
class Fleet(settings: Settings, policy: Policy, fencingToken: Long) {
    private val log = LoggerFactory.getLogger(Fleet::class.java)
    private val inventory = CloudMachineInventory(settings.cloudLimits.listLagMicros)
    private val backOff = CapacityBackOff()
    private val scaleOutPlanner = ScaleOutPlanner(scaleOutLimits(settings, policy), inventory, backOff, fencingToken)
    private val scaleInPolicy = ScaleInPolicy(settings.workers, policy)

    /** All machines by name, as far as the cloud has named them. */
    val machines: Map<String, CloudMachine> get() = inventory.machines

    /** Names of the baseline machines; null until they are known. */
    var baselineMachines: Set<String>? by inventory::baselineMachines

    /** Whether the cloud's list has been seen in this term. */
    val hasMachineList: Boolean get() = inventory.hasMachineList

    /** Whether demand is left that waits for requests in flight to finish. */
    val hasDeferredDemand: Boolean get() = scaleOutPlanner.hasDeferredDemand

    /** Merges the cloud's machine list. */
    fun updateFromList(list: List<ListedMachine>, types: Map<String, MachineType>, nowMicros: Long) =
        inventory.updateFromList(list, types, nowMicros)

    /** Counts a previous leader's [request] as pending until its outcome is known. */
    fun addPendingScaleOut(request: ScaleOutRequest) = scaleOutPlanner.addPending(request)

    /** Marks machines whose scale-in a previous leader has decided. */
    fun markScalingIn(names: Collection<String>) = inventory.markScalingIn(names)

    /** The cloud has granted [names], possibly fewer than requested. */
    fun recordScaleOutGranted(request: ScaleOutRequest, names: List<String>, types: Map<String, MachineType>, nowMicros: Long) {
        scaleOutPlanner.removePending(request)
        val type = types[request.machineType] ?: return
        inventory.addGranted(names, type, request.zone, request.spot, nowMicros)
        log.info(
            "scaled out: {} of {} {} in {}{}",
            names.size,
            request.machineCount,
            request.machineType,
            request.zone,
            suffix(request.spot),
        )
        val shape = MachineShape(type, request.zone, request.spot)
        if (names.size < request.machineCount) backOff.recordRefusal(shape, nowMicros) else backOff.recordGrant(shape)
    }

    /** The cloud has no capacity for [request]; its machine shape is not requested again for a while. */
    fun recordScaleOutRefused(request: ScaleOutRequest, types: Map<String, MachineType>, nowMicros: Long) {
        scaleOutPlanner.removePending(request)
        log.debug("no capacity for {} in {}{}", request.machineType, request.zone, suffix(request.spot))
        val type = types[request.machineType] ?: return
        backOff.recordRefusal(MachineShape(type, request.zone, request.spot), nowMicros)
    }

    /** Nobody waits for [request] any more; machines that it did bring will show in the list. */
    fun recordScaleOutAbandoned(request: ScaleOutRequest) = scaleOutPlanner.removePending(request)

    /** The cloud has confirmed that [names] are gone. */
    fun recordScaleInConfirmed(names: Collection<String>) = inventory.remove(names)

    /** Requests that would meet [demands]; each is pending until one of the `scaleOut...` events reports its outcome. */
    fun planScaleOut(
        demands: List<ScaleOutDemand>,
        types: Collection<MachineType>,
        workers: Map<String, Machine>,
        constraints: ScaleOutConstraints,
        nowMicros: Long,
    ): List<ScaleOutRequest> = scaleOutPlanner.plan(demands, types, workers, constraints, nowMicros)

    /**
     * Machines to remove now, each with the reason.
     *
     * [isNeeded] tells whether a plan still has work for a machine; once [demandCeased], idle machines are not kept for later.
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

    /** Whether the cloud's list shows that a machine is gone. */
    fun isAbsentOrFailed(name: String): Boolean = inventory.isAbsentOrFailed(name)

    /** Whether the machine is a baseline one; all count as such until the baseline is known. */
    fun isBaseline(name: String): Boolean = inventory.isBaseline(name)

    private fun suffix(spot: Boolean) = if (spot) " (spot)" else ""

    private companion object {
        const val MIN_PENDING_REQUESTS = 2

        /**
         * No more requests are in flight than the cloud takes in a second: each is then decided by what is known when it is
         * sent, rather than by what was known when it joined a queue.
         */
        fun scaleOutLimits(settings: Settings, policy: Policy) = ScaleOutLimits(
            maxPendingRequests = Math.ceil(settings.cloudLimits.rps).toInt().coerceAtLeast(MIN_PENDING_REQUESTS),
            maxVcpus = policy.maxScaleOutVcpus,
            defaultZones = settings.zones,
        )
    }
}
