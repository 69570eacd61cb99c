package linemast.duties

import kotlinx.html.body
import kotlinx.html.h1
import kotlinx.html.head
import kotlinx.html.html
import kotlinx.html.li
import kotlinx.html.p
import kotlinx.html.stream.appendHTML
import kotlinx.html.style
import kotlinx.html.table
import kotlinx.html.td
import kotlinx.html.th
import kotlinx.html.title
import kotlinx.html.tr
import kotlinx.html.ul
import kotlinx.html.unsafe
import java.time.Instant
import java.time.temporal.ChronoUnit

/** The latest actions at the cloud with the findings of the audit, for operators to read. */
class IntentReport(private val intents: List<Intent>, private val leadership: LeadershipRecord, private val findings: List<AuditFinding>) {
    /** Whether a rule is broken. */
    val hasViolations: Boolean get() = findings.any { it.severity == AuditFinding.Severity.VIOLATION }

    private val headline: String
        get() = if (leadership.leaderName == null) {
            "No controller holds the duties; highest fencing token ${leadership.highestToken}"
        } else {
            "${leadership.leaderName} holds the duties with fencing token ${leadership.leaderToken}"
        }

    private fun cells(intent: Intent): List<String> = listOf(
        intent.id.toString(),
        intent.action.duty.stored,
        intent.state.stored,
        time(intent.decidedWallMicros),
        intent.closedByToken?.toString() ?: "",
        intent.machineCount.toString(),
        describe(intent.action),
    )

    private fun describe(action: CloudAction): String = when (action) {
        is CloudAction.ScaleIn -> action.names.joinToString(" ")
        is CloudAction.ScaleOut -> action.request.let {
            "${it.requestId}: ${it.number} ${it.machineType} in ${it.zone}${if (it.spot) " (spot)" else ""}"
        }
    }

    private fun time(wallMicros: Long): String = Instant.EPOCH.plus(wallMicros, ChronoUnit.MICROS).truncatedTo(ChronoUnit.MILLIS).toString()

    private fun line(finding: AuditFinding) = "${finding.severity.name.lowercase()}: ${finding.intent} ${finding.message}"

    /** The report as plain text, one action a line. */
    fun text(): String = buildString {
        appendLine(headline)
        appendLine(COLUMNS.joinToString("\t"))
        intents.forEach { appendLine(cells(it).joinToString("\t")) }
        findings.forEach { appendLine(line(it)) }
        appendLine("${intents.size} actions, ${intents.count { !it.state.isTerminal }} open, ${findings.size} findings")
    }

    /** The report as an HTML page. */
    fun html(): String = buildString {
        appendLine("<!DOCTYPE html>")
        appendHTML().html {
            head {
                title("linemast: actions at the cloud")
                style { unsafe { +STYLE } }
            }
            body {
                h1 { +"Actions at the cloud" }
                p { +headline }
                if (findings.isEmpty()) {
                    p { +"No findings." }
                } else {
                    ul { findings.forEach { finding -> li { +line(finding) } } }
                }
                table {
                    tr { COLUMNS.forEach { column -> th { +column } } }
                    intents.forEach { intent -> tr { cells(intent).forEach { cell -> td { +cell } } } }
                }
            }
        }
    }

    private companion object {
        val COLUMNS = listOf("intent", "duty", "state", "decided", "closed by", "machines", "action")
        const val STYLE = "body{font-family:sans-serif} td,th{padding:2px 10px;text-align:left;border-bottom:1px solid #ccc}"
    }
}
