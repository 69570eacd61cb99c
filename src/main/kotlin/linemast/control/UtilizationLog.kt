package linemast.control

import linemast.cloud.Fleet
import linemast.domain.Placement
import linemast.scheduling.Cluster
import linemast.time.SECOND_MICROS
import org.slf4j.LoggerFactory

/** Logs now and then, at `debug`, what the machines are paid for: running tasks, image fetches, saves, boots, idle room. */
internal class UtilizationLog(private val cluster: Cluster, private val fleet: Fleet) {
    private val log = LoggerFactory.getLogger(UtilizationLog::class.java)
    private var loggedMicros = Long.MIN_VALUE / 2

    /** Logs a line if the last one is old enough and the level asks for it. */
    fun step(nowMicros: Long) {
        if (!log.isDebugEnabled || nowMicros < loggedMicros + PERIOD_MICROS) return
        loggedMicros = nowMicros
        val machines = cluster.machines.values.filter { nowMicros < it.leaseEndMicros }
        val booting = fleet.machines.values.count { it.name !in cluster.machines }
        val byPhase = machines.flatMap { it.placements.values }.groupingBy { it.phase }
            .fold(0.0) { vcpus, placement -> vcpus + (placement.job?.spec?.vcpus ?: 0.0) }
        log.debug(
            "usage: {} owned, {} ordinary, {} spot, {} booting; vcpus {} in all, {} running, {} fetching, {} saving, {} sent, {} idle",
            machines.count { it.baseline },
            machines.count { !it.baseline && !it.spot },
            machines.count { it.spot },
            booting,
            machines.sumOf { it.type.vcpus }.toInt(),
            byPhase[Placement.Phase.RUNNING]?.toInt() ?: 0,
            byPhase[Placement.Phase.FETCHING]?.toInt() ?: 0,
            byPhase[Placement.Phase.SAVING]?.toInt() ?: 0,
            byPhase[Placement.Phase.SENT]?.toInt() ?: 0,
            machines.filter { it.placements.isEmpty() }.sumOf { it.type.vcpus }.toInt(),
        )
        log.debug(
            "usage: {} jobs, {} tasks pending, {} of them within a guarantee",
            cluster.jobs.size,
            cluster.jobs.values.sumOf { it.pendingCount },
            cluster.jobs.values.sumOf { if (it.withinQuota) it.pendingCount else 0 },
        )
    }

    private companion object {
        const val PERIOD_MICROS = 10 * SECOND_MICROS
    }
}
