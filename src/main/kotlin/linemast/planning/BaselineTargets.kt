package linemast.planning

/**
 * The paper's target of one interval (eq. 4): the [tasks] of a job in proportion to the interval's part of the baseline
 * [throughput], and no more than that throughput. Without any throughput nothing runs on baseline machines.
 */
internal fun baselineTarget(tasks: Double, throughput: Double, totalThroughput: Double): Double =
    if (totalThroughput > 0) minOf(tasks * throughput / totalThroughput, throughput) else 0.0
