package linemast.settings

import com.fasterxml.jackson.core.JsonToken
import com.fasterxml.jackson.dataformat.toml.TomlFactory
import linemast.serialization.Fields
import linemast.serialization.MalformedException
import linemast.serialization.ValueTree
import java.io.IOException

/** Parses TOML documents. */
object Toml {
    /** Returns the root table of a TOML document; throws a [MalformedException] if [text] is not valid TOML. */
    fun parse(text: String): Fields = Fields(parseMap(text))

    private fun parseMap(text: String): Map<String, Any?> = try {
        TomlFactory().createParser(text).use { parser ->
            if (parser.nextToken() != JsonToken.START_OBJECT) throw MalformedException("is not a TOML document")
            ValueTree.readMap(parser)
        }
    } catch (e: IOException) {
        throw MalformedException("is not valid TOML: ${e.message?.lineSequence()?.first()}")
    }
}
