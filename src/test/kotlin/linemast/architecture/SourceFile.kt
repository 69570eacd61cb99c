package linemast.architecture

import java.nio.file.Files
import java.nio.file.Path
import kotlin.io.path.extension
import kotlin.io.path.readText

/** A Kotlin file of the program, split into its string literals and its other code. */
internal class SourceFile(val name: String, text: String) {
    /** The string literals without their quotation marks; literals that are concatenated by `+` count as one. */
    val literals: List<String>

    /** The code without comments and string literals; code in string templates is left out too. */
    val code: String

    init {
        val found = ArrayList<String>()
        val withoutLiterals = TOKEN.replace(text) { token ->
            if (token.value.startsWith('"')) {
                found += token.value.trim('"')
                LITERAL_MARK
            } else {
                " "
            }
        }
        code = withoutLiterals.replace(LITERAL_MARK, " ")
        literals = joinConcatenated(found, withoutLiterals)
    }

    /** Joins literals that have nothing but a `+` between them. */
    private fun joinConcatenated(found: List<String>, marked: String): List<String> {
        val result = ArrayList<String>()
        val between = marked.split(LITERAL_MARK)
        for ((index, literal) in found.withIndex()) {
            if (index > 0 && between[index].trim() == "+") result[result.lastIndex] += literal else result += literal
        }
        return result
    }

    companion object {
        private const val LITERAL_MARK = "\u0000"

        /** Matches raw strings, strings, character literals, block comments and line comments. */
        private val TOKEN = Regex(
            "\"\"\".*?\"\"\"|\"(?:\\\\.|[^\"\\\\\\n])*\"|'(?:\\\\.|[^'\\\\\\n])'|/\\*.*?\\*/|//[^\\n]*",
            RegexOption.DOT_MATCHES_ALL,
        )

        /** Returns all files of the program, named by their path under `src/main/kotlin/linemast`. */
        fun ofProgram(): List<SourceFile> {
            val root = Path.of("src/main/kotlin/linemast")
            return Files.walk(root).use { paths ->
                paths.filter { it.extension == "kt" }.map { SourceFile(root.relativize(it).toString(), it.readText()) }.toList()
            }
        }
    }
}
