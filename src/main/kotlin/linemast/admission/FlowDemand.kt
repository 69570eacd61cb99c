package linemast.admission

/**
 * The demand of a flow, as seen by one controller or summed over all; rates are per second.
 *
 * @property offeredRate new jobs that were submitted, each counted once however often its user asks.
 * @property acceptedRate jobs that were accepted.
 * @property deferredJobs jobs that were deferred and have not been accepted since.
 */
data class FlowDemand(val offeredRate: Double, val acceptedRate: Double, val deferredJobs: Int)

/** The demand of each flow over several controllers. */
internal fun List<Map<Flow, FlowDemand>>.sumByFlow(): Map<Flow, FlowDemand> = flatMap { it.entries }
    .groupBy({ it.key }, { it.value })
    .mapValues { (_, demands) ->
        FlowDemand(demands.sumOf { it.offeredRate }, demands.sumOf { it.acceptedRate }, demands.sumOf { it.deferredJobs })
    }
