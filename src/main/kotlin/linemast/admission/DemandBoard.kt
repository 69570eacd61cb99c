package linemast.admission

import linemast.serialization.MalformedException
import linemast.store.Item
import org.slf4j.LoggerFactory

/** The demand reports of all controllers, as the leader has read them; a report that is not renewed is of no account. */
internal class DemandBoard(private val validMicros: Long) {
    private class Entry(val version: Long, val sinceMicros: Long, val report: DemandReport)

    private val logger = LoggerFactory.getLogger(DemandBoard::class.java)
    private val entries = HashMap<String, Entry>()

    /** Takes the reports as the store holds them at [nowMicros]. */
    fun take(items: List<Item>, nowMicros: Long) {
        entries.keys.retainAll(items.mapTo(HashSet()) { it.key })
        for (item in items) {
            if (entries[item.key]?.version == item.version) continue
            try {
                entries[item.key] = Entry(item.version, nowMicros, AdmissionCodec.decodeDemand(item.value))
            } catch (e: MalformedException) {
                logger.error("{}: malformed demand report: {}", item.key, e.message)
            }
        }
    }

    /** The sums of all valid reports. */
    fun demands(nowMicros: Long): Map<Flow, FlowDemand> = entries.values
        .filter { nowMicros - it.sinceMicros < validMicros }
        .flatMap { it.report.demands.entries }
        .groupBy({ it.key }, { it.value })
        .mapValues { (_, parts) -> FlowDemand(parts.sumOf { it.offered }, parts.sumOf { it.accepted }, parts.sumOf { it.waiting }) }
}
