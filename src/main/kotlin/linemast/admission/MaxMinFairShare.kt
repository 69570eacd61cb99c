package linemast.admission

/** Computes max-min fair shares: no share exceeds its demand, and capacity that one demand leaves unused is shared by the others. */
object MaxMinFairShare {
    /** Returns the share of [capacity] for each of the [demands]. */
    fun <K : Comparable<K>> allocate(capacity: Double, demands: Map<K, Double>): Map<K, Double> {
        val shares = LinkedHashMap<K, Double>()
        var remaining = capacity
        val smallestFirst = demands.entries.sortedWith(compareBy({ it.value }, { it.key }))
        for ((served, entry) in smallestFirst.withIndex()) {
            val share = minOf(entry.value, remaining / (smallestFirst.size - served))
            shares[entry.key] = share
            remaining -= share
        }
        return shares
    }

    /** Returns the share of [capacity] for each flow. Capacity is shared among the teams first, then among the job classes of each team. */
    fun allocateToFlows(capacity: Double, demands: Map<Flow, Double>): Map<Flow, Double> {
        val byTeam = demands.entries.groupBy { it.key.team }
        val teamShares = allocate(capacity, byTeam.mapValues { (_, flows) -> flows.sumOf { it.value } })
        return byTeam
            .flatMap { (team, flows) -> allocate(teamShares.getValue(team), flows.associate { it.key to it.value }).entries }
            .associate { it.key to it.value }
    }
}
