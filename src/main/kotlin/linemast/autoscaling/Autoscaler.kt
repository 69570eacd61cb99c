package linemast.autoscaling

import linemast.cloud.Fleet
import linemast.cloud.ScaleInReason
import linemast.cloud.ScaleOutConstraints
import linemast.cloud.ScaleOutRequest
import linemast.domain.Job
import linemast.domain.Machine
import linemast.domain.MachineShape
import linemast.domain.MachineType
import linemast.planning.Planner
import linemast.planning.WaitingStage
import linemast.scheduling.Cluster
import linemast.scheduling.JobRanking
import linemast.settings.Policy
import org.slf4j.LoggerFactory

/** What the planning wants from the cloud now. */
class ScalingActions(val scaleOuts: List<ScaleOutRequest>, val scaleIns: Map<String, ScaleInReason>)

/**
 * Runs the plan: whole plans each long interval and for each new job at once, backups each short interval.
 */
class Autoscaler(private val cluster: Cluster, private val fleet: Fleet, private val planner: Planner, private val policy: Policy) {
    private val log = LoggerFactory.getLogger(Autoscaler::class.java)
    private var plannedMicros = Long.MIN_VALUE
    private var adjustedMicros = Long.MIN_VALUE
    private var freshMicros = Long.MIN_VALUE
    private val known = HashSet<String>()
    private val demand = DemandMonitor()

    /** Jobs that were planned before they may start. */
    private var plannedAhead: List<WaitingStage> = emptyList()
    private var plannedAheadIds: Set<String> = emptySet()

    /** True once after each whole plan, for the record in the store. */
    var hasNewPlan = false

    /** Plans if that is due, and says what to rent and return now. */
    fun step(wallMicros: Long, nowMicros: Long): ScalingActions {
        if (fleet.baselineMachines == null) return NOTHING
        if (!cluster.isReconciled) return ScalingActions(emptyList(), machinesMissingAfterFailover(nowMicros))
        demand.watch(nowMicros)
        val arrived = cluster.jobs.values.count { it.id !in known && !it.cancelled && !it.finished }
        // New jobs are planned at once, but together: each plan takes stock of the whole fleet.
        val fresh = isDue(freshMicros, FRESH_MICROS, nowMicros) && (arrived > 0 || hasNewOrChangedStages())
        val whole = isDue(plannedMicros, policy.longIntervalMicros, nowMicros)
        if (!fresh && !whole && !isDue(adjustedMicros, policy.shortIntervalMicros, nowMicros)) return NOTHING
        val jobs = JobRanking.sorted(cluster.jobs.values, cluster.quota, planner, wallMicros).map { it.job }
        if (fresh || whole) {
            repeat(arrived) { demand.arrived(nowMicros) }
            freshMicros = nowMicros
            plan(jobs, whole, wallMicros, nowMicros)
        }
        adjustedMicros = nowMicros
        return adjustRentals(jobs + plannedAhead.filter { it.startsInMicros <= bootAheadMicros(it.job) }.map { it.job }, nowMicros)
    }

    private fun hasNewOrChangedStages(): Boolean =
        cluster.waitingStages.any { it.job.id !in plannedAheadIds } || cluster.jobs.values.any(planner::isOutdated)

    private fun isDue(lastMicros: Long, periodMicros: Long, nowMicros: Long): Boolean =
        lastMicros == Long.MIN_VALUE || nowMicros - lastMicros >= periodMicros

    /**
     * Machines on record that do not report to a new leader while the others do are most likely gone, as spot ones that
     * are taken without notice. A confirmed return says so for sure, which ends the wait for unseen tasks before a lease is
     * over. Owned ones are too hard to get back, and a zone may be cut off as a whole: then only those are asked about
     * that the cloud does not list, or lists as failed.
     */
    private fun machinesMissingAfterFailover(nowMicros: Long): Map<String, ScaleInReason> {
        if (!fleet.hasMachineList || !isDue(missingScaleInMicros, RETURN_AGAIN_MICROS, nowMicros)) return emptyMap()
        val heard = cluster.failover.zonesMostlyReporting()
        val absent = cluster.failover.missingMachines(nowMicros).filter { fleet.isGone(it.name) || (!it.baseline && it.zone in heard) }
        if (absent.isEmpty()) return emptyMap()
        missingScaleInMicros = nowMicros
        log.info("returning {}: absent at the take-over", absent.map { it.name })
        return absent.associate { it.name to ScaleInReason.MISSING_AFTER_FAILOVER }
    }

    private var missingScaleInMicros = Long.MIN_VALUE

    /** A rental was refused or filled in part: the next offer is asked for without waiting out the interval. */
    fun replanSoon() {
        adjustedMicros = Long.MIN_VALUE
    }

    private fun plan(jobs: List<Job>, whole: Boolean, wallMicros: Long, nowMicros: Long) {
        val baseline = cluster.machines.values.filter { it.baseline && !it.draining && nowMicros < it.leaseEndMicros }
        // What waits comes last: it gets what the others leave, and is planned anew when it is released.
        planner.drop(plannedAheadIds)
        plannedAhead = cluster.waitingStages.filter { it.job.id !in cluster.jobs }
        plannedAheadIds = plannedAhead.mapTo(HashSet()) { it.job.id }
        planner.plan(jobs, baseline, whole, ::bootMicros, wallMicros, nowMicros, cluster::isClosedTo, plannedAhead, ::rentPrice)
        known.clear()
        jobs.forEach { known += it.id }
        planner.forget(known + plannedAheadIds)
        cluster.bookings = { job -> planner.planOf(job)?.baselineSlots(nowMicros)?.let { Math.ceil(it).toInt() } ?: 0 }
        cluster.dirty = true
        if (!whole) return
        plannedMicros = nowMicros
        hasNewPlan = true
        for (job in jobs) {
            val plan = planner.planOf(job) ?: continue
            log.debug(
                "plan of {}: owned {}, rented {} ({} side by side), backup {}, top-up {}",
                job.id,
                plan.baseline.sum().toInt(),
                plan.rented.sum().toInt(),
                plan.rentedSlots,
                plan.backup,
                plan.topUp,
            )
        }
    }

    private fun adjustRentals(jobs: List<Job>, nowMicros: Long): ScalingActions {
        val wishes = planner.wishes(jobs, { it.baseline }, nowMicros)
        val scaleOuts = fleet.planScaleOut(
            wishes,
            cluster.types.values,
            cluster.machines,
            ScaleOutConstraints(::allowance, cluster::isClosedTo),
            nowMicros,
        )
        val wanted = wishes.filter { it.slots >= 1.0 }
        val scaleIns = fleet.planScaleIn(cluster.machines, planned(wanted.map { it.job }, jobs), demand.hasCeased(), nowMicros)
        for ((reason, names) in scaleIns.entries.groupBy({ it.value }, { it.key })) log.info("returning {}: {}", names, reason)
        return ScalingActions(scaleOuts, scaleIns)
    }

    /** Tells machines that waiting jobs could still use: rented ones if a plan rents for such a job, owned ones for any. */
    private fun planned(renting: List<Job>, all: List<Job>): (Machine) -> Boolean {
        val useful = HashMap<MachineShape, Boolean>()
        val usefulBaseline = HashMap<MachineShape, Boolean>()
        fun hasUse(shape: MachineShape, users: List<Job>) =
            users.any { it.pendingCount > 0 && shape.allows(it.spec) && !cluster.isClosedTo(shape.type, shape.spot, it) }
        return { machine ->
            if (machine.baseline) {
                usefulBaseline.getOrPut(machine.shape) { hasUse(machine.shape, all) }
            } else {
                useful.getOrPut(machine.shape) { hasUse(machine.shape, renting) }
            }
        }
    }

    /** No more is rented for a job than its team may use at once. */
    private fun allowance(job: Job): Double {
        val team = cluster.quota.team(job.spec.team) ?: return 0.0
        return if (job.spec.vcpus > 0) team.cpusMax / job.spec.vcpus else job.spec.taskCount.toDouble()
    }

    private fun bootMicros(job: Job): Long =
        cluster.types.values.filter { it.takes(job.spec) }.minOfOrNull(MachineType::startupMicros) ?: 0L

    /** How long before the start of a stage machines are rented for it: some boot later than usual. */
    private fun bootAheadMicros(job: Job): Long =
        (cluster.types.values.filter { it.takes(job.spec) }.maxOfOrNull(MachineType::startupMicros) ?: 0L) * BOOT_AHEAD_PERCENT / PERCENT

    /** What a vcpu costs where [job] is cheapest to run on rented machines. */
    private fun rentPrice(job: Job): Double = cluster.types.values.filter { it.takes(job.spec) }
        .minOfOrNull { (if (job.spec.spot) minOf(it.price, it.spotPrice) else it.price) / it.vcpus } ?: 0.0

    private companion object {
        const val BOOT_AHEAD_PERCENT = 150
        const val PERCENT = 100
        const val FRESH_MICROS = 1_000_000L
        const val RETURN_AGAIN_MICROS = 3_000_000L
        val NOTHING = ScalingActions(emptyList(), emptyMap())
    }
}
