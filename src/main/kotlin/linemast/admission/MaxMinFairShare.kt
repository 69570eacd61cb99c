package linemast.admission

/** Max-min fair sharing: nobody gets more than asked for, and what one leaves is shared by the others. */
object MaxMinFairShare {
    /** Parts of [capacity] for those that ask for [demands]. */
    fun <K : Comparable<K>> divide(capacity: Double, demands: Map<K, Double>): Map<K, Double> {
        val shares = LinkedHashMap<K, Double>()
        var left = capacity
        val smallestFirst = demands.entries.sortedWith(compareBy({ it.value }, { it.key }))
        for ((served, entry) in smallestFirst.withIndex()) {
            val share = minOf(entry.value, left / (smallestFirst.size - served))
            shares[entry.key] = share
            left -= share
        }
        return shares
    }

    /** Parts of [capacity] for flows: first among teams, then among the classes of each. */
    fun divideAmongFlows(capacity: Double, demands: Map<Flow, Double>): Map<Flow, Double> {
        val byTeam = demands.entries.groupBy { it.key.team }
        val teams = divide(capacity, byTeam.mapValues { (_, flows) -> flows.sumOf { it.value } })
        return byTeam.flatMap { (team, flows) -> divide(teams.getValue(team), flows.associate { it.key to it.value }).entries }
            .associate { it.key to it.value }
    }
}
