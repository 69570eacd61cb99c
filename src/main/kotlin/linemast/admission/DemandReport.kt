package linemast.admission

/**
 * What the controller [node] tells the leader of the submissions that reach it.
 *
 * @property demands the demand of each flow; of the flows with the highest demand only, if all do not fit a stored value.
 */
class DemandReport(val node: String, val demands: Map<Flow, FlowDemand>)
