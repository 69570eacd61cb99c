package linemast.control

import linemast.cloud.Fleet
import linemast.domain.Machine
import linemast.domain.Placement
import linemast.scheduling.Cluster
import linemast.time.SECOND_MICROS
import org.slf4j.LoggerFactory

/**
 * Logs at `debug`, every [LOG_INTERVAL_MICROS], what the machines are used for: running tasks, image fetches, checkpoints,
 * idle capacity.
 */
internal class UtilizationLog(private val cluster: Cluster, private val fleet: Fleet) {
    private val log = LoggerFactory.getLogger(UtilizationLog::class.java)

    /** When the last lines were logged; null before the first ones. */
    private var lastLoggedMicros: Long? = null

    /** Logs if the interval since the last lines has passed and the level is enabled. */
    fun logIfDue(nowMicros: Long) {
        if (!log.isDebugEnabled) return
        lastLoggedMicros?.let { if (nowMicros < it + LOG_INTERVAL_MICROS) return }
        lastLoggedMicros = nowMicros
        logMachines(cluster.machines.values.filter { nowMicros < it.leaseEndMicros })
        logJobs()
    }

    private fun logMachines(machines: List<Machine>) {
        val vcpusByPhase = machines.flatMap { it.placements.values }.groupingBy { it.phase }
            .fold(0.0) { vcpus, placement -> vcpus + (placement.job?.spec?.vcpus ?: 0.0) }
        fun vcpusIn(phase: Placement.Phase) = vcpusByPhase[phase]?.toInt() ?: 0
        log.debug(
            "usage: {} baseline, {} on-demand, {} spot, {} booting; vcpus {} total, {} running, {} fetching, {} saving, {} sent, {} idle",
            machines.count { it.isBaseline },
            machines.count { !it.isBaseline && !it.spot },
            machines.count { it.spot },
            fleet.machines.values.count { it.name !in cluster.machines },
            machines.sumOf { it.type.vcpus }.toInt(),
            vcpusIn(Placement.Phase.RUNNING),
            vcpusIn(Placement.Phase.FETCHING),
            vcpusIn(Placement.Phase.CHECKPOINTING),
            vcpusIn(Placement.Phase.SENT),
            machines.filter { it.placements.isEmpty() }.sumOf { it.type.vcpus }.toInt(),
        )
        val draining = machines.filter { it.isDraining }
        if (draining.isEmpty()) return
        log.debug("usage: no starts are sent to {}", draining.map { "${it.name} (${it.placements.size} tasks, ${it.drainReason})" })
    }

    private fun logJobs() {
        val jobs = cluster.jobs.values
        val load = cluster.taskLoad()
        log.debug(
            "usage: {} tasks held of at most {}; {} jobs, {} tasks pending, {} of them within quota",
            load.held,
            load.max,
            jobs.size,
            jobs.sumOf { it.pendingCount },
            jobs.sumOf { if (it.withinQuota) it.pendingCount else 0 },
        )
    }

    private companion object {
        const val LOG_INTERVAL_MICROS = 10 * SECOND_MICROS
    }
}
