package linemast.architecture

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test
import java.nio.file.Files
import java.nio.file.Path
import kotlin.io.path.extension
import kotlin.io.path.name
import kotlin.io.path.readText

/** Guards against pages that misdirect their readers with names of types and members that no longer exist in the code. */
class DocumentedNamesTest {
    private class CodeFile(val packageName: String, val text: String) {
        val types = TYPE_DECLARATION.findAll(text).map { it.groupValues[1] }.toSet()
    }

    private val codeFiles = listOf("src/main/kotlin", "src/test/kotlin").flatMap(::kotlinFiles).map { file ->
        val text = file.readText()
        CodeFile(text.lineSequence().first { it.startsWith("package ") }.removePrefix("package linemast").removePrefix("."), text)
    }

    @Test
    fun `types and members in backticks exist in the code`() {
        val unknown = pages().flatMap { page ->
            NAME.findAll(page.readText()).filter { !exists(it) }.map { "${page.name}: ${it.value}" }
        }
        assertEquals(emptyList<String>(), unknown)
    }

    private fun exists(name: MatchResult): Boolean {
        val (packageName, type, member) = name.destructured
        if (type in LIBRARY_NAMES) return true
        return codeFiles.any { file ->
            type in file.types &&
                (packageName.isEmpty() || file.packageName == packageName.removeSuffix("/")) &&
                (member.isEmpty() || Regex("\\b${Regex.escape(member.removePrefix("."))}\\b").containsMatchIn(file.text))
        }
    }

    private fun kotlinFiles(root: String): List<Path> =
        Files.walk(Path.of(root)).use { paths -> paths.filter { it.extension == "kt" }.toList() }

    /** Returns the pages to check; measurements and incidents are left out, because they keep the names of their time. */
    private fun pages(): List<Path> = listOf(Path.of("README.md"), Path.of("CONTRIBUTING.md")) +
        Files.list(Path.of("docs")).use { paths -> paths.filter { it.extension == "md" && it.name != "measurements.md" }.toList() }.sorted()

    private companion object {
        val TYPE_DECLARATION = Regex("\\b(?:class|interface|object|typealias) ([A-Z]\\w*)")

        /** Matches a type with at least two capitals, a package before it or a member after it: `scheduling/Cluster`, `Leader.run`. */
        val NAME = Regex("`((?:[a-z]+/)?)([A-Z][a-z]+(?:[A-Z][a-z]+)+|(?<=/)[A-Z][a-z]+|[A-Z][a-z]+(?=\\.))((?:\\.[a-z]\\w*)?)`")

        /** Names from libraries and the virtual machine, which the code does not declare. */
        val LIBRARY_NAMES = setOf("ExitOnOutOfMemoryError", "SelectorManager")
    }
}
