package linemast.settings

import linemast.serialization.Fields
import java.nio.file.Path

/**
 * Files that enable an optional part of the service: TOML with one table, named after the part.
 *
 * Operators write them by hand, so an unknown field is refused: most likely it is misspelt.
 */
object FeatureFile {
    /** What [decode] makes of the table [name] of a file; throws a [SettingsException] for a file that cannot be used. */
    fun <T> read(path: Path, name: String, decode: (Fields) -> T): T = SettingsFile.read(path) { parse(it, name, decode) }

    /** What [decode] makes of the table [name] of a file's text; throws a `MalformedException` for any other content. */
    fun <T> parse(text: String, name: String, decode: (Fields) -> T): T {
        val root = Toml.parse(text)
        root.rejectUnknownFields(setOf(name))
        return decode(root.child(name))
    }
}
