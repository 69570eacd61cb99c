package linemast.planning

/**
 * Returns the baseline target of one interval by equation 4 of the paper that [Planner] follows: the interval's share of
 * [tasks], in proportion to its part [throughput] of [totalThroughput], but at most [throughput]. If [totalThroughput] is 0,
 * nothing runs on baseline machines.
 */
internal fun baselineTarget(tasks: Double, throughput: Double, totalThroughput: Double): Double =
    if (totalThroughput > 0) minOf(tasks * throughput / totalThroughput, throughput) else 0.0
