package linemast.cloud

import linemast.domain.Job
import linemast.domain.Machine
import linemast.domain.MachineShape
import linemast.domain.MachineType
import linemast.planning.ScaleOutDemand
import linemast.settings.Policy
import linemast.settings.Settings
import org.slf4j.LoggerFactory

/** A machine of the cloud's list, or of a rental that the list does not show yet. */
class CloudMachine(val name: String, val type: MachineType, val zone: String, val spot: Boolean, val createdMicros: Long) {
    val shape = MachineShape(type, zone, spot)
    var lastListedMicros = 0L
    var status = STARTING
    var scalingIn = false

    companion object {
        /** The cloud's name of a machine that is not up yet. */
        const val STARTING = "starting"

        /** The cloud's name of a machine that has stopped by itself. */
        const val FAILED = "failed"
    }
}

/**
 * Which machines there are by the cloud's word, and which to rent or return. Pure; one leader's.
 *
 * The list lags: a machine not on it may be up, and one on it may be gone. So only a confirmed return, or a
 * long absence from several lists together with silence, takes a machine off.
 */
class Fleet(private val settings: Settings, private val policy: Policy, private val fencingToken: Long) {
    private val log = LoggerFactory.getLogger(Fleet::class.java)
    private val scaleInPolicy = ScaleInPolicy(settings.workers, policy)
    val machines = LinkedHashMap<String, CloudMachine>()

    /** Names of the standing fleet; null until they are known. */
    var baselineMachines: Set<String>? = null
    private val refusals = HashMap<MachineShape, Refusal>()
    private val pendingScaleOuts = LinkedHashMap<String, ScaleOutRequest>()
    private var requestCount = 0L

    /** Requests under way at once, so that a call is made by what is known when it leaves, not by what was known a queue ago. */
    private val maxRequests = Math.ceil(settings.cloudLimits.rps).toInt().coerceAtLeast(MIN_REQUESTS)

    /** Whether wishes are left that a request under way keeps from being asked for. */
    var hasDeferredDemand = false
        private set

    /** Machines whose return an earlier leader has asked for: it may be carried out at any moment. */
    private val scalingIn = HashSet<String>()

    private class Refusal(var untilMicros: Long, var times: Int)

    /** Whether the cloud's list has been seen. */
    var hasMachineList = false
        private set

    /** Takes the cloud's machine list. */
    fun updateFromList(list: List<ListedMachine>, types: Map<String, MachineType>, nowMicros: Long) {
        hasMachineList = true
        for (item in list) {
            val type = types[item.machineType] ?: continue
            val machine = machines.getOrPut(item.name) {
                CloudMachine(item.name, type, item.zone, item.spot, nowMicros - item.ageMicros).also { it.scalingIn = it.name in scalingIn }
            }
            machine.lastListedMicros = nowMicros
            machine.status = item.status
        }
        val absentSince = nowMicros - ABSENCE_LAGS * settings.cloudLimits.listLagMicros - ABSENCE_MICROS
        machines.values.removeIf { maxOf(it.lastListedMicros, it.createdMicros) < absentSince }
    }

    /** An earlier leader has asked for [request], and its answer is not known yet. */
    fun addPendingScaleOut(request: ScaleOutRequest) {
        pendingScaleOuts[request.requestId] = request
    }

    /** Machines of which an earlier leader has decided the return. */
    fun markScalingIn(names: Collection<String>) {
        scalingIn += names
        names.forEach { machines[it]?.scalingIn = true }
    }

    /** The cloud has granted [names] for [request]. */
    fun scaleOutGranted(request: ScaleOutRequest, names: List<String>, types: Map<String, MachineType>, nowMicros: Long) {
        pendingScaleOuts.remove(request.requestId)
        val type = types[request.machineType] ?: return
        for (name in names) {
            machines.getOrPut(name) { CloudMachine(name, type, request.zone, request.spot, nowMicros) }
        }
        log.info("rented {} of {} {} in {}{}", names.size, request.number, request.machineType, request.zone, kind(request.spot))
        val offer = MachineShape(type, request.zone, request.spot)
        if (names.size < request.number) refuse(offer, nowMicros) else refusals.remove(offer)
    }

    /** The cloud has no capacity for [request]; its offer is not asked for again for a while. */
    fun scaleOutRefused(request: ScaleOutRequest, types: Map<String, MachineType>, nowMicros: Long) {
        pendingScaleOuts.remove(request.requestId)
        log.debug("no {} in {}{}", request.machineType, request.zone, kind(request.spot))
        types[request.machineType]?.let { refuse(MachineShape(it, request.zone, request.spot), nowMicros) }
    }

    /** The rental may or may not have happened; what it brought will show in the list. */
    fun scaleOutAbandoned(request: ScaleOutRequest) {
        pendingScaleOuts.remove(request.requestId)
    }

    /** The cloud has confirmed the return of [names]. */
    fun scaleInConfirmed(names: Collection<String>) {
        names.forEach(machines::remove)
        scalingIn -= names.toSet()
    }

    private fun refuse(offer: MachineShape, nowMicros: Long) {
        val refusal = refusals.getOrPut(offer) { Refusal(0, 0) }
        // Several requests for one offer may be under way: their refusals are one single observation.
        if (nowMicros < refusal.untilMicros) return
        refusal.times++
        refusal.untilMicros = nowMicros + (REFUSED_MICROS shl minOf(refusal.times - 1, MAX_DOUBLINGS))
    }

    private fun kind(spot: Boolean) = if (spot) " (spot)" else ""

    /** Rentals that would meet [wishes], given what is there or on its way. */
    fun planScaleOut(
        wishes: List<ScaleOutDemand>,
        types: Collection<MachineType>,
        workers: Map<String, Machine>,
        allowance: (Job) -> Double,
        closed: (MachineType, Boolean, Job) -> Boolean,
        nowMicros: Long,
    ): List<ScaleOutRequest> {
        val supply = supply(types, workers, nowMicros)
        val requests = LinkedHashMap<MachineShape, Int>()
        var scaledOutVcpus = supply.sumOf { it.machines * it.shape.type.vcpus }
        for (wish in wishes) {
            var left = minOf(wish.slots, allowance(wish.job))
            if (left < MIN_WISH) continue
            for (room in supply) if (!closed(room.shape.type, room.shape.spot, wish.job)) left -= room.take(wish.job, left)
            if (left < MIN_WISH) continue
            val offer = offers(wish.job, types, nowMicros).firstOrNull { !closed(it.type, it.spot, wish.job) } ?: continue
            val perMachine = Math.floor(offer.type.vcpus / wish.job.spec.vcpus + EPSILON)
            val wanted =
                minOf(Math.ceil(left / perMachine - EPSILON).toInt(), ((policy.maxRentedVcpus - scaledOutVcpus) / offer.type.vcpus).toInt())
            if (wanted <= 0) continue
            // Only what the cloud grants counts; a refusal brings the next offer into play soon.
            requests.merge(offer, wanted, Int::plus)
            scaledOutVcpus += wanted * offer.type.vcpus
            supply += Supply(offer).also {
                it.add(wanted)
                it.take(wish.job, left)
            }
        }
        val calls = requests.flatMap { (offer, number) -> callSizes(number).map { offer to it } }
        val free = (maxRequests - pendingScaleOuts.size).coerceAtLeast(0)
        hasDeferredDemand = calls.size > free
        return calls.take(free).map { (offer, number) -> request(offer, number) }.onEach { pendingScaleOuts[it.requestId] = it }
    }

    /** [number] in parts that the cloud takes in one request. */
    private fun callSizes(number: Int): List<Int> = (0 until number step MAX_NUMBER).map { from -> minOf(number - from, MAX_NUMBER) }

    private fun request(offer: MachineShape, number: Int): ScaleOutRequest =
        ScaleOutRequest("r-$fencingToken-${++requestCount}", offer.type.name, offer.zone, offer.spot, number)

    /** Rented machines of one shape, as room that wishes take from. */
    private class Supply(val shape: MachineShape) {
        var machines = 0
            private set
        private var untouched = 0

        /** What is left on the machine that was taken from last. */
        private var rest = 0.0

        fun add(number: Int) {
            machines += number
            untouched += number
        }

        fun take(job: Job, slots: Double): Double {
            val spec = job.spec
            if (slots <= 0 || !shape.allows(spec)) return 0.0
            val fromRest = minOf(slots, Math.floor(rest / spec.vcpus + EPSILON))
            rest -= fromRest * spec.vcpus
            val perMachine = Math.floor(shape.type.vcpus / spec.vcpus + EPSILON)
            val taken = minOf(slots - fromRest, untouched * perMachine)
            if (taken <= 0) return fromRest
            val touched = Math.ceil(taken / perMachine - EPSILON).toInt()
            untouched -= touched
            rest = maxOf(rest, shape.type.vcpus - (taken - (touched - 1) * perMachine) * spec.vcpus)
            return fromRest + taken
        }
    }

    private fun supply(types: Collection<MachineType>, workers: Map<String, Machine>, nowMicros: Long): MutableList<Supply> {
        val supply = LinkedHashMap<MachineShape, Supply>()
        for (machine in machines.values) {
            if (isBaseline(machine.name) || machine.scalingIn || machine.status == CloudMachine.FAILED) continue
            val worker = workers[machine.name]
            val overdue = worker == null && nowMicros - machine.createdMicros > OVERDUE_BOOTS * machine.type.startupMicros
            if (overdue || worker?.draining == true || (worker != null && worker.unacknowledgedSinceMicros > 0)) continue
            supply.getOrPut(machine.shape) { Supply(machine.shape) }.add(1)
        }
        for (request in pendingScaleOuts.values) {
            val type = types.firstOrNull { it.name == request.machineType } ?: continue
            val shape = MachineShape(type, request.zone, request.spot)
            supply.getOrPut(shape) { Supply(shape) }.add(request.number)
        }
        // Small and cheap ones first, so that large ones stay for those who need them.
        return supply.values.sortedBy { it.shape.type.vcpus }.toMutableList()
    }

    /** What could be rented for [job], the cheapest first, without what was refused lately. */
    private fun offers(job: Job, types: Collection<MachineType>, nowMicros: Long): List<MachineShape> {
        val spec = job.spec
        return types.filter { it.takes(spec) }.flatMap { type ->
            val perMachine = Math.floor(type.vcpus / spec.vcpus + EPSILON)
            val zones = type.zones.ifEmpty { settings.zones }.filter { spec.zone == null || it == spec.zone }
            zones.flatMap { zone ->
                val ordinary = MachineShape(type, zone, false) to type.price / perMachine
                if (spec.spot) listOf(ordinary, MachineShape(type, zone, true) to type.spotPrice / perMachine) else listOf(ordinary)
            }
        }.filter { (offer, _) -> (refusals[offer]?.untilMicros ?: 0L) <= nowMicros }
            .sortedBy { it.second }
            .map { it.first }
    }

    /** Whether the cloud's list shows that a machine is no more; a new one may not be listed yet. */
    fun isGone(name: String): Boolean = machines[name].let { it == null || it.status == CloudMachine.FAILED }

    /** Whether the machine belongs to the standing fleet; all do as long as that is unknown. */
    fun isBaseline(name: String): Boolean = baselineMachines?.contains(name) ?: true

    /** Machines to be given back now, with the reason. */
    fun planScaleIn(
        workers: Map<String, Machine>,
        planned: (Machine) -> Boolean,
        demandCeased: Boolean,
        nowMicros: Long,
    ): Map<String, ScaleInReason> {
        val reportingZones = scaleInPolicy.reportingZones(workers, nowMicros)
        val situation = ScaleInPolicy.Situation(planned, demandCeased, reportingZones, nowMicros)
        val reasons = LinkedHashMap<String, ScaleInReason>()
        for (machine in machines.values) {
            if (machine.scalingIn) continue
            val reason = scaleInPolicy.reason(machine, workers[machine.name], isBaseline(machine.name), situation) ?: continue
            reasons[machine.name] = reason
        }
        return reasons
    }

    private companion object {
        const val ABSENCE_LAGS = 4
        const val ABSENCE_MICROS = 20_000_000L
        const val REFUSED_MICROS = 8_000_000L
        const val MAX_DOUBLINGS = 3
        const val MIN_WISH = 0.5
        const val EPSILON = 1e-6
        const val MAX_NUMBER = 50
        const val MIN_REQUESTS = 2
        const val OVERDUE_BOOTS = 2
    }
}
