package linemast.recovery

/** The result of a completed reconciliation, stored for operators. */
internal class ReconciliationReport(
    /** Wall-clock time at which the report was created. */
    val wallMicros: Long,
    /** Fencing token of the leader that completed the reconciliation. */
    val fencingToken: Long,
    val statistics: ReconciliationStatistics,
    /** States of the jobs without a complete record, by job id. */
    val jobs: Map<String, UnknownJobState>,
)

/** Encodes reconciliation reports for the store; see docs/operations-recovery.md for the fields. */
internal object ReconciliationReportCodec {
    /** The key of the latest report. */
    const val KEY = "recovery"

    /** With this many jobs the report still fits the smallest size limit of a stored value. */
    private const val MAX_REPORTED_JOBS = 15

    private val stateNames = mapOf(
        UnknownJobState.UNDECIDED to "undecided",
        UnknownJobState.ENDED to "over",
        UnknownJobState.UNRECORDED to "unrecorded",
        UnknownJobState.INCONSISTENT to "inconsistent",
        UnknownJobState.UNKNOWN to "unknown",
    )
    private val differenceNames = mapOf(
        ReconciliationStatistics.Difference.ADOPTED to "adopted",
        ReconciliationStatistics.Difference.UNSTORED_RESULT to "result",
        ReconciliationStatistics.Difference.UNKNOWN to "unknown",
        ReconciliationStatistics.Difference.LOST to "lost",
    )
    private val commandNames = mapOf(
        ReconciliationStatistics.Command.START to "start",
        ReconciliationStatistics.Command.STOP to "stop",
        ReconciliationStatistics.Command.ACKNOWLEDGE to "acknowledge",
    )

    /** Encodes [report] with at most the first [MAX_REPORTED_JOBS] of its jobs. */
    fun encode(report: ReconciliationReport): Map<String, Any?> = mapOf(
        "at_us" to report.wallMicros,
        "helm" to report.fencingToken,
        "summary" to summary(report.statistics),
        "jobs" to report.jobs.entries.take(MAX_REPORTED_JOBS).map { (id, state) -> encodeJob(id, state) },
    )

    private fun encodeJob(id: String, state: UnknownJobState): Map<String, Any?> =
        mapOf("job" to id, "standing" to stateNames.getValue(state))

    /** Returns the counts of [statistics] in one line. */
    fun summary(statistics: ReconciliationStatistics): String {
        val differences = differenceNames.entries.joinToString { (difference, name) -> "${statistics.countOf(difference)} $name" }
        val commands = commandNames.entries.joinToString { (command, name) -> "${statistics.countOf(command)} $name" }
        return "${statistics.reportingWorkerCount} workers heard; $differences; orders: $commands"
    }
}
