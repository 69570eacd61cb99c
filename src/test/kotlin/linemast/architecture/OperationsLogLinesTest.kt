package linemast.architecture

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import java.nio.file.Path
import kotlin.io.path.readText

/**
 * Guards against log lines quoted in docs/operations.md that the program does not log. In a quote, `{}` stands for a value and `...` for
 * an omitted part.
 */
class OperationsLogLinesTest {
    private val levels = setOf("info", "debug", "warn", "error")
    private val literals = SourceFile.ofProgram().flatMap { it.literals }

    private fun quotedLines(): List<String> {
        val section = Path.of("docs/operations.md").readText().substringAfter("\n## Logs\n").substringBefore("\n## ")
        return QUOTED.findAll(section).map { it.groupValues[1].replace('\n', ' ') }.filter { it !in levels }.toList()
    }

    /** Whether the parts of [quote] around `...` occur in one string literal, in the order of the quote. */
    private fun isLogged(quote: String): Boolean {
        val pattern = Regex(quote.split("...").joinToString(".*") { Regex.escape(it) })
        return literals.any { pattern.containsMatchIn(it) }
    }

    @Test
    fun `each log line quoted in the operations page occurs in a string literal of the program`() {
        val lines = quotedLines()
        assertTrue(lines.size > MIN_LINES, "docs/operations.md quotes too few log lines: $lines")
        assertEquals(emptyList<String>(), lines.filterNot(::isLogged))
    }

    @Test
    fun `a line that the program does not log is detected`() {
        assertFalse(isLogged("leading with fencing number {}"))
        assertFalse(isLogged("fencing token ... leading with"))
    }

    private companion object {
        val QUOTED = Regex("`([^`]+)`")
        const val MIN_LINES = 15
    }
}
