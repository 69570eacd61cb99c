package linemast.settings

import linemast.time.SECOND_MICROS

/**
 * What operators may set in their own file, a [PolicyScript]; the values here hold without one. Durations are in microseconds.
 *
 * @property fullPlanIntervalMicros between two plans of all jobs.
 * @property scalingIntervalMicros between two adjustments of the machines to scale out, such as releasing backups.
 * @property idleScaleInMicros a scaled-out machine without work or plan is returned after this long.
 * @property baselineIdleScaleInMicros a baseline machine without work is returned after this long.
 * @property leaderLeaseMicros duration of the leader's lease on its key.
 * @property maxScaleOutVcpus most scaled-out vcpus at one time.
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

        /** Beyond any fleet: 6,000 machines of 128 vcpus are 768,000. What jobs and their teams' limits ask for bounds it. */
        const val MAX_SCALE_OUT_VCPUS = 1_000_000.0
    }
}
