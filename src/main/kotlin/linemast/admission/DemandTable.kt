package linemast.admission

import linemast.serialization.MalformedException
import linemast.store.Entry
import org.slf4j.LoggerFactory

/** The demand reports of all controllers, as the leader has read them; a report that is not renewed is of no account. */
internal class DemandTable(private val validMicros: Long) {
    private class Row(val revision: Long, val sinceMicros: Long, val report: DemandReport)

    private val logger = LoggerFactory.getLogger(DemandTable::class.java)
    private val rows = HashMap<String, Row>()

    /** Takes the reports as the store holds them at [nowMicros]. */
    fun take(items: List<Entry>, nowMicros: Long) {
        rows.keys.retainAll(items.mapTo(HashSet()) { it.key })
        for (item in items) {
            if (rows[item.key]?.revision == item.revision) continue
            try {
                rows[item.key] = Row(item.revision, nowMicros, AdmissionCodec.decodeDemand(item.value))
            } catch (e: MalformedException) {
                logger.error("{}: malformed demand report: {}", item.key, e.message)
            }
        }
    }

    /** The sums of all valid reports. */
    fun demands(nowMicros: Long): Map<Flow, FlowDemand> = rows.values
        .filter { nowMicros - it.sinceMicros < validMicros }
        .flatMap { it.report.demands.entries }
        .groupBy({ it.key }, { it.value })
        .mapValues { (_, parts) -> FlowDemand(parts.sumOf { it.offered }, parts.sumOf { it.accepted }, parts.sumOf { it.waiting }) }
}
