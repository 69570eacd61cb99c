package linemast.duties

import java.time.Instant
import java.time.temporal.ChronoUnit

/** The latest cloud actions with the findings of the audit, for operators. [toText] and [toHtml] render the report. */
class IntentReport(
    internal val intents: List<Intent>,
    private val leadership: LeadershipSnapshot,
    internal val findings: List<AuditFinding>,
) {
    /** Whether any finding is a violation of a rule. */
    val hasViolations: Boolean get() = findings.any { it.severity == AuditFinding.Severity.VIOLATION }

    /** The current leader, in one sentence. */
    internal val headline: String
        get() = if (leadership.leaderName == null) {
            "No controller leads; the highest fencing token is ${leadership.highestToken}"
        } else {
            "${leadership.leaderName} leads with fencing token ${leadership.leaderToken}"
        }

    /** One row for each intent, with its cells in the order of [COLUMNS]. */
    internal val rows: List<List<String>> get() = intents.map(::cells)

    /** One line for each finding. */
    internal val findingLines: List<String>
        get() = findings.map { "${it.severity.name.lowercase()}: ${it.intentId} ${it.message}" }

    private fun cells(intent: Intent): List<String> = listOf(
        intent.id.toString(),
        intent.action.duty.storedName,
        intent.state.storedName,
        timestamp(intent.decidedWallMicros),
        intent.closedByToken?.toString() ?: "",
        intent.machineCount.toString(),
        describe(intent.action),
    )

    private fun describe(action: CloudAction): String = when (action) {
        is CloudAction.ScaleIn -> action.names.joinToString(" ")
        is CloudAction.ScaleOut -> action.request.let {
            "${it.requestId}: ${it.machineCount} ${it.machineType} in ${it.zone}${if (it.spot) " (spot)" else ""}"
        }
    }

    private fun timestamp(wallMicros: Long): String =
        Instant.EPOCH.plus(wallMicros, ChronoUnit.MICROS).truncatedTo(ChronoUnit.MILLIS).toString()

    internal companion object {
        /** Column headings of the table of intents. */
        val COLUMNS = listOf("intent", "duty", "state", "decided", "closed by", "machines", "action")
    }
}
