package linemast.scheduling

import linemast.leadership.LeaderLease
import linemast.settings.WorkerSettings

/** Durations that follow from workers' heartbeat interval and lease, with margins for clock drift. */
internal class WorkerTiming(workers: WorkerSettings) {
    /** Upper bound of a lease on any clock: a lease that was not renewed for this long by any leader has expired. */
    val maxLeaseMicros = workers.leaseMicros.let { it + 2 * LeaderLease.driftMicros(it) + LEASE_MARGIN_MICROS }

    /** Lower bound of a lease on any clock: a lease that was just renewed lasts at least this long. */
    val minLeaseMicros = workers.leaseMicros.let { it - 2 * LeaderLease.driftMicros(it) }

    /**
     * Longest interval between two heartbeats of which the second one acknowledges the response to the first. A worker that got no
     * response sends its next heartbeat later than this, after its timeout and a pause.
     */
    val acknowledgedIntervalMicros =
        maxOf(MIN_ACKNOWLEDGED_INTERVAL_MICROS, workers.heartbeatIntervalMicros * 5 / 4 + HEARTBEAT_SLACK_MICROS)

    /** A worker that has sent no heartbeat for this long is overdue: its heartbeats do not reach this leader. */
    val missingHeartbeatMicros = workers.heartbeatIntervalMicros * 3 / 2 + 2 * HEARTBEAT_SLACK_MICROS

    /** Time within which workers find a new leader. */
    val failoverMicros = workers.heartbeatIntervalMicros * 5 / 4 + FAILOVER_MARGIN_MICROS

    private companion object {
        const val LEASE_MARGIN_MICROS = 300_000L
        const val MIN_ACKNOWLEDGED_INTERVAL_MICROS = 4_700_000L
        const val HEARTBEAT_SLACK_MICROS = 1_000_000L
        const val FAILOVER_MARGIN_MICROS = 3_000_000L
    }
}
