package linemast.admission

/** What the controller [node] tells the leader of the submissions that reach it. */
class DemandReport(val node: String, val demands: Map<Flow, FlowDemand>)
