package linemast.scheduling

import linemast.leadership.LeaderLease
import linemast.settings.WorkerSettings

/** Durations that follow from how often workers report and how long their leases are, with room for clock drift. */
internal class WorkerTiming(workers: WorkerSettings) {
    /** Leases that some leader could have renewed are over after this long, on any clock. */
    val longestLeaseMicros = workers.leaseMicros.let { it + 2 * LeaderLease.driftMicros(it) + LEASE_MARGIN_MICROS }

    /** A lease that a worker has just been given lasts at least this long, on any clock. */
    val shortestLeaseMicros = workers.leaseMicros.let { it - 2 * LeaderLease.driftMicros(it) }

    /**
     * A worker that got no answer reports again after its time-out and a pause; one that reports sooner than that
     * got the answer before.
     */
    val answeredWithinMicros = maxOf(UNANSWERED_MICROS, workers.heartbeatIntervalMicros * 5 / 4 + REPORT_SLACK_MICROS)

    /** A worker that has been silent for this long does not get through. */
    val lostAfterMicros = workers.heartbeatIntervalMicros * 3 / 2 + 2 * REPORT_SLACK_MICROS

    /** Workers can have found a new leader within this time. */
    val takeoverMicros = workers.heartbeatIntervalMicros * 5 / 4 + TAKEOVER_MARGIN_MICROS

    private companion object {
        const val LEASE_MARGIN_MICROS = 300_000L
        const val UNANSWERED_MICROS = 4_700_000L
        const val REPORT_SLACK_MICROS = 1_000_000L
        const val TAKEOVER_MARGIN_MICROS = 3_000_000L
    }
}
