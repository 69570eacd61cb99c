package linemast.admission

import linemast.serialization.Fields

/** The stored forms of plans and demand reports. The names of fields in the store occur only here. */
object AdmissionCodec {
    /** Key of the plan in force. */
    const val PLAN_KEY = "admission/plan"

    /** Keys of the controllers' demand reports begin so. */
    const val DEMAND_PREFIX = "admission/demand/"

    /** Key of the demand report of [node]. */
    fun demandKey(node: String): String = DEMAND_PREFIX + node

    /** The stored form of [plan]. */
    fun encode(plan: AdmissionPlan): Map<String, Any?> = mapOf(
        "epoch" to plan.epoch,
        "helm" to plan.fencingToken,
        "flows" to plan.ranges.entries.sortedBy { it.key }.map { (flow, range) ->
            flowFields(flow) + mapOf("head" to range.position, "width" to range.length, "pace" to range.rate)
        },
    )

    /** Reads a plan; throws a `MalformedException` for anything else. */
    fun decodePlan(fields: Fields) = AdmissionPlan(
        epoch = fields.long("epoch"),
        fencingToken = fields.long("helm"),
        ranges = fields.children("flows").associate { flow(it) to range(it) },
    )

    private fun range(fields: Fields): HashRange {
        val range = HashRange(fields.long("head"), fields.long("width"), fields.long("pace"))
        if (range.position !in 0 until HashRing.SIZE) fields.fail("head", "is not a position of the hash ring")
        if (range.length !in 0..HashRing.SIZE) fields.fail("width", "is not a length on the hash ring")
        if (range.rate !in 1..HashRing.SIZE) fields.fail("pace", "must be at least 1")
        return range
    }

    /** The stored form of [report]. */
    fun encode(report: DemandReport): Map<String, Any?> = mapOf(
        "node" to report.node,
        "flows" to report.demands.entries.sortedBy { it.key }.map { (flow, demand) ->
            flowFields(flow) + mapOf("offered" to demand.offeredRate, "accepted" to demand.acceptedRate, "waiting" to demand.deferredJobs)
        },
    )

    /** Reads a demand report; throws a `MalformedException` for anything else. */
    fun decodeDemand(fields: Fields) = DemandReport(
        node = fields.text("node"),
        demands = fields.children("flows").associate {
            flow(it) to FlowDemand(it.number("offered"), it.number("accepted"), it.long("waiting").toInt())
        },
    )

    private fun flowFields(flow: Flow): Map<String, Any?> = mapOf("crew" to flow.team, "lane" to flow.jobClass)

    private fun flow(fields: Fields) = Flow(fields.text("crew"), fields.text("lane"))
}
