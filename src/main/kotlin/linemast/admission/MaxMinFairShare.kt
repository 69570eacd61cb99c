package linemast.admission

/** Max-min fair sharing: nobody gets more than asked for, and what one leaves is shared by the others. */
object MaxMinFairShare {
    /** Shares of [capacity] for those that ask for [demands]. */
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

    /** Shares of [capacity] for flows: first among teams, then among the job classes of each. */
    fun allocateToFlows(capacity: Double, demands: Map<Flow, Double>): Map<Flow, Double> {
        val byTeam = demands.entries.groupBy { it.key.team }
        val teamShares = allocate(capacity, byTeam.mapValues { (_, flows) -> flows.sumOf { it.value } })
        return byTeam
            .flatMap { (team, flows) -> allocate(teamShares.getValue(team), flows.associate { it.key to it.value }).entries }
            .associate { it.key to it.value }
    }
}
