package linemast.admission

import linemast.serialization.Fields

/** Encodes and decodes the stored forms of admission plans and demand reports. Their field names in the store are used only here. */
object AdmissionCodec {
    /** Key of the current plan. */
    const val PLAN_KEY = "admission/plan"

    /** Prefix of the keys of the controllers' demand reports. */
    const val DEMAND_PREFIX = "admission/demand/"

    /** Returns the key of the demand report of the controller [nodeName]. */
    fun demandKey(nodeName: String): String = DEMAND_PREFIX + nodeName

    /** Returns the stored form of [plan]. */
    fun encode(plan: AdmissionPlan): Map<String, Any?> = mapOf(
        "epoch" to plan.epoch,
        "helm" to plan.fencingToken,
        "flows" to plan.ranges.entries.sortedBy { it.key }.map { (flow, range) ->
            flowFields(flow) + mapOf("head" to range.position, "width" to range.length, "pace" to range.rate)
        },
    )

    /** Decodes a plan; throws a `MalformedException` if a field is missing or out of range. */
    fun decodePlan(fields: Fields) = AdmissionPlan(
        epoch = fields.long("epoch"),
        fencingToken = fields.long("helm"),
        ranges = fields.children("flows").associate { flow(it) to range(it) },
    )

    private fun range(fields: Fields): HashRange {
        val range = HashRange(fields.long("head"), fields.long("width"), fields.long("pace"))
        if (range.position !in 0 until HashRing.SIZE) fields.fail("head", "must be a position on the hash ring")
        if (range.length !in 0..HashRing.SIZE) fields.fail("width", "must be a length on the hash ring")
        if (range.rate !in 1..HashRing.SIZE) fields.fail("pace", "must be at least 1 and at most the size of the hash ring")
        return range
    }

    /** Returns the stored form of [report]. */
    fun encode(report: DemandReport): Map<String, Any?> = mapOf(
        "node" to report.nodeName,
        "flows" to report.demands.entries.sortedBy { it.key }.map { (flow, demand) ->
            flowFields(flow) + mapOf("offered" to demand.offeredRate, "accepted" to demand.acceptedRate, "waiting" to demand.deferredJobs)
        },
    )

    /** Decodes a demand report; throws a `MalformedException` if a field is missing or has the wrong type. */
    fun decodeDemand(fields: Fields) = DemandReport(
        nodeName = fields.text("node"),
        demands = fields.children("flows").associate {
            flow(it) to FlowDemand(it.number("offered"), it.number("accepted"), it.long("waiting").toInt())
        },
    )

    private fun flowFields(flow: Flow): Map<String, Any?> = mapOf("crew" to flow.team, "lane" to flow.jobClass)

    private fun flow(fields: Fields) = Flow(fields.text("crew"), fields.text("lane"))
}
