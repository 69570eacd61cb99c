package linemast.settings

import linemast.serialization.Fields
import java.nio.file.Path

/**
 * Reads files that enable an optional feature of the service: TOML with one table, which is named after the feature.
 *
 * Operators write these files by hand. An unknown field is rejected because it is most likely a misspelt field.
 */
object FeatureFile {
    /** Returns the result of [decode] for the table [name] of a file; throws a [SettingsException] if the file cannot be used. */
    fun <T> read(path: Path, name: String, decode: (Fields) -> T): T = SettingsFile.read(path) { parse(it, name, decode) }

    /** Returns the result of [decode] for the table [name] in [text]; throws a `MalformedException` if [text] has any other content. */
    fun <T> parse(text: String, name: String, decode: (Fields) -> T): T {
        val root = Toml.parse(text)
        root.rejectUnknownFields(setOf(name))
        return decode(root.child(name))
    }
}
