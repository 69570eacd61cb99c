package linemast.autoscaling

import linemast.cloud.Fleet
import linemast.cloud.ScaleInBatch
import linemast.cloud.ScaleInReason
import linemast.scheduling.Cluster
import linemast.time.SECOND_MICROS
import org.slf4j.LoggerFactory

/**
 * Scales in registered machines that do not report to a new leader while others do.
 *
 * Most of these machines no longer exist, such as spot machines that were preempted without notice. A confirmed scale-in proves
 * that a machine does not exist, which ends the wait for its unreported tasks before its lease expires. Baseline machines are too
 * hard to replace, and a whole zone may be partitioned from the network: baseline machines and machines in zones that mostly do
 * not report are scaled in only if the cloud does not list them, or lists them as failed.
 */
internal class MissingMachines(private val cluster: Cluster, private val fleet: Fleet) {
    private val log = LoggerFactory.getLogger(MissingMachines::class.java)
    private val retryTimer = IntervalTimer(RETRY_MICROS)

    /** Returns the machines to scale in now; to be called while the cluster is not reconciled. */
    fun scaleIns(nowMicros: Long): ScaleInBatch {
        if (!fleet.hasMachineList || !retryTimer.isDue(nowMicros)) return ScaleInBatch.EMPTY
        val reportingZones = cluster.failover.zonesMostlyReporting()
        val missing = cluster.failover.missingMachines(nowMicros)
            .filter { fleet.isAbsentOrFailed(it.name) || (!it.isBaseline && it.zone in reportingZones) }
        if (missing.isEmpty()) return ScaleInBatch.EMPTY
        retryTimer.restart(nowMicros)
        log.info("scaling in {}: {}", missing.map { it.name }, ScaleInReason.MISSING_AFTER_FAILOVER)
        return ScaleInBatch(missing.associate { it.name to ScaleInReason.MISSING_AFTER_FAILOVER })
    }

    private companion object {
        const val RETRY_MICROS = 3 * SECOND_MICROS
    }
}
