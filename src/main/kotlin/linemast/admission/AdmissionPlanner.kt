package linemast.admission

import linemast.settings.AdmissionSettings
import linemast.time.SECOND_MICROS

/**
 * Decides which flows are limited, and how fast each of those is admitted. The leader uses it.
 *
 * Flows share what the store takes, and the jobs that may be open at one time, by max-min fairness: first among teams, then
 * among the job classes of each. A flow that asks for no more than its share is not limited at all.
 *
 * @param capacity submissions a second that the store has capacity for.
 */
class AdmissionPlanner(private val settings: AdmissionSettings, private val capacity: Double) {
    /** By how much faster or slower than computed a flow's range advances, learnt from what was accepted. */
    private val corrections = HashMap<Flow, Double>()

    /** The ranges of the next plan, [elapsedMicros] after the one with [ranges]. */
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

    /** A flow that was limited stays so a little longer: its deferred jobs were told when to retry. */
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

    /** The range by which [flow] is admitted at [allowedRate]; null if that would be all of its ids at any time. */
    private fun nextRange(flow: Flow, demand: FlowDemand, allowedRate: Double, range: HashRange?, elapsedMicros: Long): HashRange? {
        val dwellSeconds = settings.dwellMicros / 1e6
        // New ids meet a range as long as its end advances in the dwell time; deferred ones are met by its end.
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
        /** Deferred jobs are admitted within this time, as far as the capacity allows. */
        const val BACKLOG_DRAIN_SECONDS = 30.0

        /** However much others ask for, each flow is admitted at this rate at least, so that nothing waits for ever. */
        const val MIN_RATE = 0.2

        /** A limited flow is released below this share of its allowed rate. */
        const val RELEASE_SHARE = 0.8

        /** By which factor what was accepted may differ from the allowed rate without a correction. */
        const val TOLERANCE = 1.2
        const val CORRECTION_STEP = 1.25
        const val MAX_CORRECTION = 4.0
    }
}
