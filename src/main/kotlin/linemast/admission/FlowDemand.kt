package linemast.admission

/**
 * The demand of a flow at one controller, or summed over several controllers.
 *
 * @property offeredRate number of new jobs submitted per second; retries of a submission are not counted.
 * @property acceptedRate number of jobs accepted per second.
 * @property deferredJobs number of jobs that were deferred and have not been accepted since.
 */
data class FlowDemand(val offeredRate: Double, val acceptedRate: Double, val deferredJobs: Int)

/** Returns the demand of each flow, summed over several controllers. */
internal fun List<Map<Flow, FlowDemand>>.sumByFlow(): Map<Flow, FlowDemand> = flatMap { it.entries }
    .groupBy({ it.key }, { it.value })
    .mapValues { (_, demands) ->
        FlowDemand(demands.sumOf { it.offeredRate }, demands.sumOf { it.acceptedRate }, demands.sumOf { it.deferredJobs })
    }
