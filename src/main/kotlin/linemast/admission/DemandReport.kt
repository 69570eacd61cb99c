package linemast.admission

/**
 * The report to the leader of the submissions that reach the controller [nodeName].
 *
 * @property demands the demand of each flow, or only that of the flows with the highest demand if not all flows fit a stored value.
 */
class DemandReport(val nodeName: String, val demands: Map<Flow, FlowDemand>)
