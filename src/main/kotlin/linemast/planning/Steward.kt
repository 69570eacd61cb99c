package linemast.planning

import linemast.cloud.Fleet
import linemast.cloud.MachineType
import linemast.cloud.RentRequest
import linemast.placement.Cluster
import linemast.placement.JobOrder
import linemast.workers.Job
import org.slf4j.LoggerFactory

/** What the planning wants from the cloud now. */
class CloudActions(val rentals: List<RentRequest>, val returns: Map<String, String>)

/**
 * Runs the plan: whole plans each long interval and for each new job at once, backups each short interval.
 */
class Steward(
    private val cluster: Cluster,
    private val fleet: Fleet,
    private val planner: Planner,
    private val policy: Policy,
) {
    private val log = LoggerFactory.getLogger(Steward::class.java)
    private var plannedMicros = Long.MIN_VALUE
    private var lookedMicros = Long.MIN_VALUE
    private val known = HashSet<String>()
    private val demand = Demand()

    /** True once after each whole plan, for the record in the store. */
    var freshPlan = false

    fun step(wallMicros: Long, nowMicros: Long): CloudActions {
        if (fleet.standing == null || !cluster.settled) return NOTHING
        val jobs = JobOrder.sorted(cluster.jobs.values, cluster.usage, planner, wallMicros).map { it.job }
        val arrived = jobs.count { it.id !in known }
        repeat(arrived) { demand.arrived(nowMicros) }
        val fresh = arrived > 0
        val whole = plannedMicros == Long.MIN_VALUE || nowMicros - plannedMicros >= policy.longIntervalMicros
        if (fresh || whole) plan(jobs, whole, wallMicros, nowMicros)
        val waited = lookedMicros == Long.MIN_VALUE || nowMicros - lookedMicros >= policy.shortIntervalMicros
        if (!fresh && !whole && !waited) return NOTHING
        lookedMicros = nowMicros
        return look(jobs, nowMicros)
    }

    /** A rental was refused or filled in part: the next offer is asked for without waiting out the interval. */
    fun lookSoon() {
        lookedMicros = Long.MIN_VALUE
    }

    private fun plan(jobs: List<Job>, whole: Boolean, wallMicros: Long, nowMicros: Long) {
        val owned = cluster.machines.values.filter { isOwned(it.name) && !it.draining && nowMicros < it.leaseEndMicros }
        planner.plan(jobs, owned, whole, ::bootMicros, wallMicros, nowMicros, cluster::isClosedTo)
        known.clear()
        jobs.forEach { known += it.id }
        planner.forget(known)
        cluster.bookings = { job -> planner.planOf(job)?.ownedSlots(nowMicros)?.let { Math.ceil(it).toInt() } ?: 0 }
        cluster.dirty = true
        if (!whole) return
        plannedMicros = nowMicros
        freshPlan = true
        for (job in jobs) {
            val plan = planner.planOf(job) ?: continue
            log.debug(
                "plan of {}: owned {}, rented {} ({} side by side), backup {}, top-up {}",
                job.id, plan.owned.sum().toInt(), plan.rented.sum().toInt(), plan.rentedSlots, plan.backup, plan.topUp,
            )
        }
    }

    private fun look(jobs: List<Job>, nowMicros: Long): CloudActions {
        val wishes = planner.wishes(jobs, { isOwned(it.name) }, nowMicros)
        val rentals = fleet.toRent(wishes, cluster.types.values, cluster.machines, ::allowance, cluster::isClosedTo, nowMicros)
        val wanted = wishes.filter { it.slots >= 1.0 }
        val planned = plannedMachines(wanted.map { it.job }, jobs)
        val returns = fleet.toReturn(cluster.machines, planned, demand.hasCeased(nowMicros), nowMicros)
        for ((name, reason) in returns) log.info("returning {}: {}", name, reason)
        return CloudActions(rentals, returns)
    }

    /** Machines that waiting jobs could still use: rented ones if a plan rents for such a job, owned ones for any. */
    private fun plannedMachines(renting: List<Job>, all: List<Job>): Set<String> = cluster.machines.values.filter { machine ->
        val users = if (isOwned(machine.name)) all else renting
        users.any { it.pendingCount > 0 && machine.allows(it.spec) && !cluster.isClosedTo(machine.type, machine.loaners, it) }
    }.mapTo(HashSet()) { it.name }

    /** No more is rented for a job than its team may use at once. */
    private fun allowance(job: Job): Double {
        val team = cluster.usage.team(job.spec.crew) ?: return 0.0
        return if (job.spec.vcpus > 0) team.cpusMax / job.spec.vcpus else job.spec.pieces.toDouble()
    }

    private fun bootMicros(job: Job): Long =
        cluster.types.values.filter { it.takes(job.spec) }.minOfOrNull(MachineType::startupMicros) ?: 0L

    private fun isOwned(name: String) = fleet.isOwned(name)

    private companion object {
        val NOTHING = CloudActions(emptyList(), emptyMap())
    }
}
