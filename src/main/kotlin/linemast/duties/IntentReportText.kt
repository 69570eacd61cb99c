package linemast.duties

/** Renders the report as plain text, with one action per line and tabs between columns. */
fun IntentReport.toText(): String = buildString {
    appendLine(headline)
    appendLine(IntentReport.COLUMNS.joinToString("\t"))
    rows.forEach { appendLine(it.joinToString("\t")) }
    findingLines.forEach { appendLine(it) }
    appendLine("${intents.size} actions, ${intents.count { !it.state.isTerminal }} open, ${findings.size} findings")
}
