package linemast.admission

import linemast.settings.AdmissionSettings
import linemast.time.SECOND_MICROS

/**
 * Decides which flows are limited, and how fast each of those is let in; pure, the leader's.
 *
 * Flows share what the state service takes, and the jobs that may be open at one time, by max-min fairness: first among
 * teams, then among the classes of each. A flow that asks for no more than its part is not limited at all.
 */
class AdmissionPlanner(private val settings: AdmissionSettings, private val capacity: Double) {
    /** By how much more or less than computed a flow is let in, learnt from what was accepted. */
    private val corrections = HashMap<Flow, Double>()

    /** The arcs of the next plan, [elapsedMicros] after the one with [ranges]. */
    fun next(
        ranges: Map<Flow, HashRange>,
        demands: Map<Flow, FlowDemand>,
        openJobs: Map<Flow, Int>,
        elapsedMicros: Long,
    ): Map<Flow, HashRange> {
        val wanted = demands.mapValues { (_, demand) -> demand.offered + demand.waiting / WORK_OFF_SECONDS }
        val allowed = allowedRates(wanted, openJobs)
        val next = LinkedHashMap<Flow, HashRange>()
        for ((flow, demand) in demands) {
            val rate = allowed.getValue(flow)
            val range = ranges[flow]
            // One that is limited stays so a little longer: what waits has been told when to come.
            val bound = if (range == null) rate else rate * RELEASE_SHARE
            if (wanted.getValue(flow) <= bound) continue
            range(flow, demand, rate, range, elapsedMicros)?.let { next[flow] = it }
        }
        corrections.keys.retainAll(next.keys)
        return next
    }

    private fun allowedRates(wanted: Map<Flow, Double>, openJobs: Map<Flow, Int>): Map<Flow, Double> {
        val byIntake = MaxMinFairShare.divideAmongFlows(capacity, wanted)
        val flows = wanted.keys + openJobs.keys
        val backlog = flows.associateWith { (openJobs[it] ?: 0) + (wanted[it] ?: 0.0) * WORK_OFF_SECONDS }
        val fairBacklog = MaxMinFairShare.divideAmongFlows(settings.maxOpenJobs.toDouble(), backlog)
        return wanted.keys.associateWith { flow ->
            val room = fairBacklog.getValue(flow) - (openJobs[flow] ?: 0)
            maxOf(MIN_RATE, minOf(byIntake.getValue(flow), room / WORK_OFF_SECONDS))
        }
    }

    /** Null if the flow need not be limited after all. */
    private fun range(flow: Flow, demand: FlowDemand, rate: Double, range: HashRange?, elapsedMicros: Long): HashRange? {
        val dwellSeconds = settings.dwellMicros / 1e6
        // What comes anew meets an arc that is as wide as the head moves in the dwell time; what waits is met by the head.
        val met = demand.offered * dwellSeconds + demand.waiting
        val share = rate / maxOf(met, MIN_RATE) * correction(flow, demand, rate, range)
        if (share * dwellSeconds >= 1.0) return null
        val rangeRate = (share * HashRing.SIZE).toLong().coerceAtLeast(1)
        val position = range?.after(elapsedMicros)?.position ?: 0L
        return HashRange(position, length = rangeRate * settings.dwellMicros / SECOND_MICROS, rate = rangeRate)
    }

    private fun correction(flow: Flow, demand: FlowDemand, rate: Double, range: HashRange?): Double {
        val last = corrections[flow] ?: 1.0
        val next = when {
            range == null -> 1.0
            demand.accepted > rate * CLEARLY_MORE -> last / CORRECTION_STEP
            demand.accepted < rate / CLEARLY_MORE -> last * CORRECTION_STEP
            else -> last
        }.coerceIn(1 / MAX_CORRECTION, MAX_CORRECTION)
        corrections[flow] = next
        return next
    }

    private companion object {
        /** What waits is let in within this time, as far as there is room. */
        const val WORK_OFF_SECONDS = 30.0

        /** However much others ask for: each flow moves on, so that nothing waits for ever. */
        const val MIN_RATE = 0.2
        const val RELEASE_SHARE = 0.8
        const val CLEARLY_MORE = 1.2
        const val CORRECTION_STEP = 1.25
        const val MAX_CORRECTION = 4.0
    }
}
