package linemast.architecture

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import java.nio.file.Path
import kotlin.io.path.readText

/** Log lines that docs/operations.md quotes are those of the program; `{}` stands for a value, `...` for a part left out. */
class OperationsLogLinesTest {
    private val levels = setOf("info", "debug", "warn", "error")
    private val literals = SourceFile.ofProgram().flatMap { it.literals }

    private fun quotedLines(): List<String> {
        val section = Path.of("docs/operations.md").readText().substringAfter("\n## Logs\n").substringBefore("\n## ")
        return QUOTED.findAll(section).map { it.groupValues[1].replace('\n', ' ') }.filter { it !in levels }.toList()
    }

    /** Whether the parts of [quote] around `...` stand in one string literal, in their order. */
    private fun isLogged(quote: String): Boolean {
        val pattern = Regex(quote.split("...").joinToString(".*") { Regex.escape(it) })
        return literals.any { pattern.containsMatchIn(it) }
    }

    @Test
    fun `each log line quoted in the operations page stands in a string literal of the program`() {
        val lines = quotedLines()
        assertTrue(lines.size > MIN_LINES, "the page quotes only $lines")
        assertEquals(emptyList<String>(), lines.filterNot(::isLogged))
    }

    @Test
    fun `a line that the program does not log is noticed`() {
        assertFalse(isLogged("leading with fencing number {}"))
        assertFalse(isLogged("fencing token ... leading with"))
    }

    private companion object {
        val QUOTED = Regex("`([^`]+)`")
        const val MIN_LINES = 15
    }
}
