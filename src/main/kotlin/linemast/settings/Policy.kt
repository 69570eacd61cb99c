package linemast.settings

import linemast.time.SECOND_MICROS

/**
 * The settings that operators may change in a file of their own, a [PolicyScript]. A setting that the script does not give has the
 * default value given here.
 *
 * @property fullPlanIntervalMicros time between two plans of all jobs.
 * @property scalingIntervalMicros time between two adjustments of the number of machines to scale out, such as the release of backups.
 * @property idleScaleInMicros how long a scaled-out machine may have no work and no planned work before it is scaled in.
 * @property baselineIdleScaleInMicros how long a baseline machine may have no work before it is scaled in.
 * @property leaderLeaseMicros duration of the lease on the leader's key.
 * @property maxScaleOutVcpus maximum number of scaled-out vcpus at one time.
 */
data class Policy(
    val fullPlanIntervalMicros: Long = FULL_PLAN_INTERVAL_MICROS,
    val scalingIntervalMicros: Long = SCALING_INTERVAL_MICROS,
    val idleScaleInMicros: Long = IDLE_SCALE_IN_MICROS,
    val baselineIdleScaleInMicros: Long = BASELINE_IDLE_SCALE_IN_MICROS,
    val leaderLeaseMicros: Long = LEADER_LEASE_MICROS,
    val maxScaleOutVcpus: Double = MAX_SCALE_OUT_VCPUS,
) {
    private companion object {
        const val FULL_PLAN_INTERVAL_MICROS = 60 * SECOND_MICROS
        const val SCALING_INTERVAL_MICROS = 10 * SECOND_MICROS
        const val IDLE_SCALE_IN_MICROS = 25 * SECOND_MICROS
        const val BASELINE_IDLE_SCALE_IN_MICROS = 1_800 * SECOND_MICROS
        const val LEADER_LEASE_MICROS = 4 * SECOND_MICROS

        /**
         * More than any fleet has: 6,000 machines of 128 vcpus have 768,000. The scaled-out vcpus are bounded by the demand of the jobs
         * and by the quotas of the teams.
         */
        const val MAX_SCALE_OUT_VCPUS = 1_000_000.0
    }
}
