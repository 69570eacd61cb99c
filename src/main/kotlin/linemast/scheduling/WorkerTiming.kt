package linemast.scheduling

import linemast.leadership.LeaderLease
import linemast.settings.WorkerSettings

/** Durations that follow from workers' heartbeat interval and lease, with margins for clock drift. */
internal class WorkerTiming(workers: WorkerSettings) {
    /** Leases that some leader could have renewed have expired after this long, on any clock. */
    val maxLeaseMicros = workers.leaseMicros.let { it + 2 * LeaderLease.driftMicros(it) + LEASE_MARGIN_MICROS }

    /** A lease that a worker has just been given lasts at least this long, on any clock. */
    val minLeaseMicros = workers.leaseMicros.let { it - 2 * LeaderLease.driftMicros(it) }

    /**
     * A worker that got no response sends its next heartbeat after its timeout and a pause; one that sends it sooner than
     * this got the response before.
     */
    val acknowledgedIntervalMicros =
        maxOf(MIN_ACKNOWLEDGED_INTERVAL_MICROS, workers.heartbeatIntervalMicros * 5 / 4 + HEARTBEAT_SLACK_MICROS)

    /** A worker without a heartbeat for this long does not get through. */
    val missingHeartbeatMicros = workers.heartbeatIntervalMicros * 3 / 2 + 2 * HEARTBEAT_SLACK_MICROS

    /** Workers can have found a new leader within this time. */
    val failoverMicros = workers.heartbeatIntervalMicros * 5 / 4 + FAILOVER_MARGIN_MICROS

    private companion object {
        const val LEASE_MARGIN_MICROS = 300_000L
        const val MIN_ACKNOWLEDGED_INTERVAL_MICROS = 4_700_000L
        const val HEARTBEAT_SLACK_MICROS = 1_000_000L
        const val FAILOVER_MARGIN_MICROS = 3_000_000L
    }
}
