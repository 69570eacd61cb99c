package linemast.admission

import linemast.serialization.MalformedException
import linemast.store.Entry
import org.slf4j.LoggerFactory

/**
 * Holds the demand reports of all controllers that the leader has read.
 *
 * @param validMicros time after which a report that has not been replaced is ignored.
 */
internal class DemandTable(private val validMicros: Long) {
    private class ReadReport(val revision: Long, val readMicros: Long, val report: DemandReport)

    private val logger = LoggerFactory.getLogger(DemandTable::class.java)
    private val reports = HashMap<String, ReadReport>()

    /** Updates the table with [entries], which are all reports in the store at [nowMicros]. */
    fun update(entries: List<Entry>, nowMicros: Long) {
        reports.keys.retainAll(entries.mapTo(HashSet()) { it.key })
        for (entry in entries) {
            if (reports[entry.key]?.revision == entry.revision) continue
            try {
                reports[entry.key] = ReadReport(entry.revision, nowMicros, AdmissionCodec.decodeDemand(entry.value))
            } catch (e: MalformedException) {
                logger.error("{}: malformed demand report: {}; the report is ignored", entry.key, e.message)
            }
        }
    }

    /** Returns the demand of each flow, summed over all valid reports. */
    fun demands(nowMicros: Long): Map<Flow, FlowDemand> = reports.values
        .filter { nowMicros - it.readMicros < validMicros }
        .map { it.report.demands }
        .sumByFlow()
}
