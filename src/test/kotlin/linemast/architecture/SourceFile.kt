package linemast.architecture

import java.nio.file.Files
import java.nio.file.Path
import kotlin.io.path.extension
import kotlin.io.path.readText

/** A Kotlin file of the program as text, with what stands in its string literals and in its code. */
internal class SourceFile(val name: String, text: String) {
    /** The string literals, without their quotation marks; literals that are joined by `+` count as one. */
    val literals: List<String>

    /** The code without comments and without string literals; the code in templates is left out too. */
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

    /** Joins literals of which nothing but a `+` lies between. */
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

        /** Raw strings, strings, characters, block comments and line comments. */
        private val TOKEN = Regex(
            "\"\"\".*?\"\"\"|\"(?:\\\\.|[^\"\\\\\\n])*\"|'(?:\\\\.|[^'\\\\\\n])'|/\\*.*?\\*/|//[^\\n]*",
            RegexOption.DOT_MATCHES_ALL,
        )

        /** All files of the program, by their path under `src/main/kotlin/linemast`. */
        fun ofProgram(): List<SourceFile> {
            val root = Path.of("src/main/kotlin/linemast")
            return Files.walk(root).use { paths ->
                paths.filter { it.extension == "kt" }.map { SourceFile(root.relativize(it).toString(), it.readText()) }.toList()
            }
        }
    }
}
