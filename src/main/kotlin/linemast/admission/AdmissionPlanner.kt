package linemast.admission

import linemast.settings.AdmissionSettings
import linemast.time.SECOND_MICROS

/**
 * Decides which flows are limited and at which rate each limited flow is admitted. The leader uses it.
 *
 * Flows share the store's capacity and the maximum number of open jobs by max-min fairness: first among the teams, then among the
 * job classes of each team. A flow whose demand is within its share is not limited.
 *
 * @param capacity number of submissions per second that the store has capacity for.
 */
class AdmissionPlanner(private val settings: AdmissionSettings, private val capacity: Double) {
    /** Factor on the computed rate at which a flow's range advances, adjusted in each plan according to the accepted rate. */
    private val corrections = HashMap<Flow, Double>()

    /** Returns the ranges of the next plan, which is made [elapsedMicros] after the plan with [ranges]. */
    fun planRanges(
        ranges: Map<Flow, HashRange>,
        demands: Map<Flow, FlowDemand>,
        openJobs: Map<Flow, Int>,
        elapsedMicros: Long,
    ): Map<Flow, HashRange> {
        val requestedRates = demands.mapValues { (_, demand) -> demand.offeredRate + demand.deferredJobs / BACKLOG_DRAIN_SECONDS }
        val allowedRates = allowedRates(requestedRates, openJobs)
        val next = LinkedHashMap<Flow, HashRange>()
        for ((flow, demand) in demands) {
            val range = ranges[flow]
            val allowedRate = allowedRates.getValue(flow)
            if (!isLimited(requestedRates.getValue(flow), allowedRate, wasLimited = range != null)) continue
            nextRange(flow, demand, allowedRate, range, elapsedMicros)?.let { next[flow] = it }
        }
        corrections.keys.retainAll(next.keys)
        return next
    }

    /** Whether a flow is limited. A limited flow stays limited a little longer, because its deferred jobs were given a time to retry. */
    private fun isLimited(requestedRate: Double, allowedRate: Double, wasLimited: Boolean): Boolean =
        requestedRate > if (wasLimited) allowedRate * RELEASE_SHARE else allowedRate

    private fun allowedRates(requestedRates: Map<Flow, Double>, openJobs: Map<Flow, Int>): Map<Flow, Double> {
        val fairRates = MaxMinFairShare.allocateToFlows(capacity, requestedRates)
        val flows = requestedRates.keys + openJobs.keys
        val backlog = flows.associateWith { (openJobs[it] ?: 0) + (requestedRates[it] ?: 0.0) * BACKLOG_DRAIN_SECONDS }
        val fairBacklog = MaxMinFairShare.allocateToFlows(settings.maxOpenJobs.toDouble(), backlog)
        return requestedRates.keys.associateWith { flow ->
            val allowedJobs = fairBacklog.getValue(flow) - (openJobs[flow] ?: 0)
            maxOf(MIN_RATE, minOf(fairRates.getValue(flow), allowedJobs / BACKLOG_DRAIN_SECONDS))
        }
    }

    /** Returns the range with which [flow] is admitted at [allowedRate]; null if the range would always cover the whole hash ring. */
    private fun nextRange(flow: Flow, demand: FlowDemand, allowedRate: Double, range: HashRange?, elapsedMicros: Long): HashRange? {
        val dwellSeconds = settings.dwellMicros / 1e6
        // The range is as long as the distance that it advances in the dwell time, so that it covers each id for that time. Ids of new
        // jobs are admitted anywhere in the range, ids of deferred jobs when the leading end of the range reaches them.
        val reachedJobs = demand.offeredRate * dwellSeconds + demand.deferredJobs
        val ringShare = allowedRate / maxOf(reachedJobs, MIN_RATE) * correction(flow, demand, allowedRate, range)
        if (ringShare * dwellSeconds >= 1.0) return null
        val rate = (ringShare * HashRing.SIZE).toLong().coerceAtLeast(1)
        val position = range?.advancedBy(elapsedMicros)?.position ?: 0L
        return HashRange(position, length = rate * settings.dwellMicros / SECOND_MICROS, rate = rate)
    }

    private fun correction(flow: Flow, demand: FlowDemand, allowedRate: Double, range: HashRange?): Double {
        val last = corrections[flow] ?: 1.0
        val next = when {
            range == null -> 1.0
            demand.acceptedRate > allowedRate * TOLERANCE -> last / CORRECTION_STEP
            demand.acceptedRate < allowedRate / TOLERANCE -> last * CORRECTION_STEP
            else -> last
        }.coerceIn(1 / MAX_CORRECTION, MAX_CORRECTION)
        corrections[flow] = next
        return next
    }

    private companion object {
        /** Time within which deferred jobs are admitted, as far as the capacity allows. */
        const val BACKLOG_DRAIN_SECONDS = 30.0

        /** Minimum number of jobs per second that are admitted of each flow whatever the demand of others, so that no job waits forever. */
        const val MIN_RATE = 0.2

        /** A limited flow is no longer limited once its requested rate is below this share of its allowed rate. */
        const val RELEASE_SHARE = 0.8

        /** Factor by which the accepted rate may differ from the allowed rate before the rate is corrected. */
        const val TOLERANCE = 1.2
        const val CORRECTION_STEP = 1.25
        const val MAX_CORRECTION = 4.0
    }
}
