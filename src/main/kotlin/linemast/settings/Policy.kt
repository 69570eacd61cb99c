package linemast.settings

import linemast.time.SECOND_MICROS

/** What operators may set in their own file; the values here hold without one. */
class Policy(
    /** Between two whole plans. */
    val longIntervalMicros: Long = LONG_INTERVAL_MICROS,
    /** Between two looks at which backups are still needed. */
    val shortIntervalMicros: Long = SHORT_INTERVAL_MICROS,
    /** A rented machine without work or plan is returned after this long. */
    val idleScaleInMicros: Long = IDLE_RETURN_MICROS,
    /** An owned machine without work is returned after this long. */
    val baselineIdleScaleInMicros: Long = BASELINE_IDLE_MICROS,
    /** Lease of the leader on its key. */
    val leaderLeaseMicros: Long = LEADER_LEASE_MICROS,
    /** Rented vcpus at one time, at most. */
    val maxScaleOutVcpus: Double = MAX_RENTED_VCPUS,
) {
    /** The values that hold without a policy file. */
    companion object {
        private const val LONG_INTERVAL_MICROS = 60 * SECOND_MICROS
        private const val SHORT_INTERVAL_MICROS = 10 * SECOND_MICROS
        private const val IDLE_RETURN_MICROS = 25 * SECOND_MICROS
        private const val BASELINE_IDLE_MICROS = 1_800 * SECOND_MICROS
        private const val LEADER_LEASE_MICROS = 4 * SECOND_MICROS

        /** Beyond any fleet: 6,000 machines of 128 vcpus are 768,000. What jobs and their teams' limits ask for bounds it. */
        private const val MAX_RENTED_VCPUS = 1_000_000.0
    }
}
