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

private const val STYLE = "body{font-family:sans-serif} td,th{padding:2px 10px;text-align:left;border-bottom:1px solid #ccc}"

/** Renders the report as a complete HTML page. */
fun IntentReport.toHtml(): String = buildString {
    appendLine("<!DOCTYPE html>")
    appendHTML().html {
        head {
            title("linemast: cloud actions")
            style { unsafe { +STYLE } }
        }
        body {
            h1 { +"Cloud actions" }
            p { +headline }
            if (findings.isEmpty()) {
                p { +"No findings." }
            } else {
                ul { findingLines.forEach { line -> li { +line } } }
            }
            table {
                tr { IntentReport.COLUMNS.forEach { column -> th { +column } } }
                rows.forEach { row -> tr { row.forEach { cell -> td { +cell } } } }
            }
        }
    }
}
