package linemast.cloud

import linemast.planning.Policy
import linemast.planning.RentalWish
import linemast.settings.Settings
import linemast.workers.Job
import linemast.workers.Machine
import org.slf4j.LoggerFactory

/** A machine of the cloud's list, or of a rental that the list does not show yet. */
class CloudMachine(val name: String, val type: MachineType, val yard: String, val loaners: Boolean, val rentedMicros: Long) {
    var listedMicros = 0L
    var status = "starting"
    var returning = false
}

/** One sort of machine that can be asked for. */
data class Offer(val build: String, val yard: String, val loaners: Boolean)

/**
 * Which machines there are by the cloud's word, and which to rent or return. Pure; one leader's.
 *
 * The list lags: a machine not on it may be up, and one on it may be gone. So only a confirmed return, or a
 * long absence from several lists together with silence, takes a machine off.
 */
class Fleet(
    private val settings: Settings,
    private val policy: Policy,
    private val helm: Long,
) {
    private val log = LoggerFactory.getLogger(Fleet::class.java)
    val machines = LinkedHashMap<String, CloudMachine>()

    /** Names of the standing fleet; null until they are known. */
    var standing: Set<String>? = null
    private val refusals = HashMap<Offer, Refusal>()
    private val pendingRents = HashMap<String, Pair<RentRequest, Long>>()
    private var charters = 0L

    private class Refusal(var untilMicros: Long, var times: Int)

    fun listed(list: List<ListedMachine>, types: Map<String, MachineType>, nowMicros: Long) {
        for (item in list) {
            val type = types[item.build] ?: continue
            val machine = machines.getOrPut(item.name) {
                CloudMachine(item.name, type, item.yard, item.loaners, nowMicros - item.ageMicros)
            }
            machine.listedMicros = nowMicros
            machine.status = item.status
        }
        val absentSince = nowMicros - ABSENCE_LAGS * settings.cloudLimits.listLagMicros - ABSENCE_MICROS
        machines.values.removeIf { maxOf(it.listedMicros, it.rentedMicros) < absentSince }
    }

    fun rented(request: RentRequest, names: List<String>, types: Map<String, MachineType>, nowMicros: Long) {
        pendingRents.remove(request.charter)
        val type = types[request.build] ?: return
        for (name in names) {
            machines.getOrPut(name) { CloudMachine(name, type, request.yard, request.loaners, nowMicros) }
        }
        log.info("rented {} of {} {} in {}{}", names.size, request.number, request.build, request.yard, kind(request.loaners))
        val offer = Offer(request.build, request.yard, request.loaners)
        if (names.size < request.number) refuse(offer, nowMicros) else refusals.remove(offer)
    }

    fun refused(request: RentRequest, nowMicros: Long) {
        pendingRents.remove(request.charter)
        log.debug("no {} in {}{}", request.build, request.yard, kind(request.loaners))
        refuse(Offer(request.build, request.yard, request.loaners), nowMicros)
    }

    /** The rental may or may not have happened; what it brought will show in the list. */
    fun gaveUp(request: RentRequest) {
        pendingRents.remove(request.charter)
    }

    fun gone(names: Collection<String>) {
        names.forEach(machines::remove)
    }

    private fun refuse(offer: Offer, nowMicros: Long) {
        val refusal = refusals.getOrPut(offer) { Refusal(0, 0) }
        refusal.times++
        refusal.untilMicros = nowMicros + (REFUSED_MICROS shl minOf(refusal.times - 1, MAX_DOUBLINGS))
    }

    private fun kind(loaners: Boolean) = if (loaners) " (spot)" else ""

    /** Rentals that would meet [wishes], given what is there or on its way. */
    fun toRent(
        wishes: List<RentalWish>,
        types: Collection<MachineType>,
        workers: Map<String, Machine>,
        allowance: (Job) -> Double,
        closed: (MachineType, Boolean, Job) -> Boolean,
        nowMicros: Long,
    ): List<RentRequest> {
        val supply = supply(workers, nowMicros)
        val requests = LinkedHashMap<Offer, Int>()
        var rentedVcpus = supply.sumOf { it.type.vcpus }
        for (wish in wishes) {
            var left = minOf(wish.slots, allowance(wish.job))
            for (room in supply) if (!closed(room.type, room.loaners, wish.job)) left -= room.take(wish.job, left)
            if (left < LEAST_WISH) continue
            for (offer in offers(wish.job, types, nowMicros)) {
                val type = types.first { it.name == offer.build }
                if (closed(type, offer.loaners, wish.job)) continue
                val perMachine = Math.floor(type.vcpus / wish.job.spec.vcpus + EPSILON)
                var wanted = Math.ceil(left / perMachine - EPSILON).toInt().coerceIn(0, MAX_NUMBER)
                wanted = minOf(wanted, ((policy.mostRentedVcpus - rentedVcpus) / type.vcpus).toInt())
                if (wanted <= 0) break
                requests.merge(offer, wanted, Int::plus)
                rentedVcpus += wanted * type.vcpus
                val bought = Supply(type, offer.yard, offer.loaners, wanted * type.vcpus)
                supply += bought
                left -= bought.take(wish.job, left)
                // Only what the cloud grants counts; a refusal brings the next offer into play soon.
                break
            }
        }
        return requests.map { (offer, number) ->
            RentRequest("r-$helm-${++charters}", offer.build, offer.yard, offer.loaners, minOf(number, MAX_NUMBER))
        }.onEach { pendingRents[it.charter] = it to nowMicros }
    }

    private class Supply(val type: MachineType, val yard: String, val loaners: Boolean, var vcpus: Double) {
        fun take(job: Job, slots: Double): Double {
            val spec = job.spec
            if (slots <= 0 || !type.takes(spec) || (loaners && !spec.loaners) || (spec.yard != null && spec.yard != yard)) return 0.0
            val taken = minOf(slots, Math.floor(vcpus / spec.vcpus + EPSILON))
            vcpus -= taken * spec.vcpus
            return taken
        }
    }

    private fun supply(workers: Map<String, Machine>, nowMicros: Long): MutableList<Supply> {
        val supply = ArrayList<Supply>()
        for (machine in machines.values) {
            if (isOwned(machine.name) || machine.returning || machine.status == "failed") continue
            val worker = workers[machine.name]
            val overdue = worker == null && nowMicros - machine.rentedMicros > OVERDUE_BOOTS * machine.type.startupMicros
            if (overdue || worker?.draining == true || (worker != null && worker.deafSinceMicros > 0)) continue
            supply += Supply(machine.type, machine.yard, machine.loaners, machine.type.vcpus)
        }
        for ((request, _) in pendingRents.values) {
            val type = supply.firstOrNull { it.type.name == request.build }?.type ?: continue
            supply += Supply(type, request.yard, request.loaners, request.number * type.vcpus)
        }
        // Small and cheap ones first, so that large ones stay for those who need them.
        supply.sortBy { it.type.vcpus }
        return supply
    }

    /** What could be rented for [job], the cheapest first, without what was refused lately. */
    private fun offers(job: Job, types: Collection<MachineType>, nowMicros: Long): List<Offer> {
        val spec = job.spec
        return types.filter { it.takes(spec) }.flatMap { type ->
            val perMachine = Math.floor(type.vcpus / spec.vcpus + EPSILON)
            val yards = type.yards.ifEmpty { settings.zones }.filter { spec.yard == null || it == spec.yard }
            yards.flatMap { yard ->
                val ordinary = Offer(type.name, yard, false) to type.price / perMachine
                if (spec.loaners) listOf(ordinary, Offer(type.name, yard, true) to type.marketPrice / perMachine) else listOf(ordinary)
            }
        }.filter { (offer, _) -> (refusals[offer]?.untilMicros ?: 0L) <= nowMicros }
            .sortedBy { it.second }
            .map { it.first }
    }

    fun isOwned(name: String): Boolean = standing?.contains(name) ?: true

    /** Machines to be given back now, with the reason. */
    fun toReturn(workers: Map<String, Machine>, planned: Set<String>, demandCeased: Boolean, nowMicros: Long): Map<String, String> {
        val reasons = LinkedHashMap<String, String>()
        for (machine in machines.values) {
            if (machine.returning) continue
            val worker = workers[machine.name]
            reasons[machine.name] = reasonToReturn(machine, worker, planned, demandCeased, workers.values, nowMicros) ?: continue
        }
        return reasons
    }

    private fun reasonToReturn(
        machine: CloudMachine,
        worker: Machine?,
        planned: Set<String>,
        demandCeased: Boolean,
        workers: Collection<Machine>,
        nowMicros: Long,
    ): String? {
        if (machine.status == "failed") return "has stopped by itself"
        if (worker == null || worker.reportedMicros == 0L) {
            val age = nowMicros - machine.rentedMicros
            val limit = NEVER_BOOTS * machine.type.startupMicros + NEVER_MICROS
            return if (machine.status == "starting" && age > limit) "does not come up" else null
        }
        val silent = nowMicros - worker.reportedMicros
        if (worker.failedJobs.size >= 2 && worker.draining) return "fails what it starts"
        val recall = worker.recallMicros
        if (recall != null && silent >= recall - RECALL_MARGIN_MICROS) return "recalled"
        val quiet = settings.workers.reportMicros * QUIET_REPORTS + QUIET_MICROS
        if (machine.loaners && silent > quiet && neighbourReports(worker, workers, nowMicros)) return "taken without notice"
        val longSilent = if (isOwned(machine.name)) OWNED_SILENT_MICROS else SILENT_MICROS
        if (silent > longSilent && neighbourReports(worker, workers, nowMicros)) return "silent"
        if (worker.deafSinceMicros > 0 && nowMicros - worker.deafSinceMicros > SILENT_MICROS) return "does not hear"
        if (worker.placements.isNotEmpty() || worker.reservedFor != null || silent > quiet) return null
        val idle = nowMicros - worker.idleSinceMicros
        if (machine.name in planned) return null
        if (isOwned(machine.name)) {
            val patience = if (demandCeased) policy.idleReturnMicros else policy.ownedIdleMicros
            return if (idle > patience) "owned, long idle" else null
        }
        return if (idle > policy.idleReturnMicros) "idle" else null
    }

    /** A zone that is silent as a whole is more likely cut off than gone. */
    private fun neighbourReports(worker: Machine, workers: Collection<Machine>, nowMicros: Long): Boolean =
        workers.any { it !== worker && it.yard == worker.yard && nowMicros - it.reportedMicros < QUIET_MICROS + settings.workers.reportMicros }

    private companion object {
        const val ABSENCE_LAGS = 4
        const val ABSENCE_MICROS = 20_000_000L
        const val REFUSED_MICROS = 8_000_000L
        const val MAX_DOUBLINGS = 3
        const val LEAST_WISH = 0.5
        const val EPSILON = 1e-6
        const val MAX_NUMBER = 50
        const val OVERDUE_BOOTS = 2
        const val NEVER_BOOTS = 4
        const val NEVER_MICROS = 20_000_000L
        const val RECALL_MARGIN_MICROS = 1_000_000L
        const val QUIET_REPORTS = 2
        const val QUIET_MICROS = 2_500_000L
        const val SILENT_MICROS = 60_000_000L
        const val OWNED_SILENT_MICROS = 150_000_000L
    }
}
