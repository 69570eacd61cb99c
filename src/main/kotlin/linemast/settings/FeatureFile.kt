package linemast.settings

import linemast.serialization.Fields
import linemast.serialization.MalformedException
import java.io.IOException
import java.nio.file.Files
import java.nio.file.Path

/**
 * Files that enable an optional part of the service: TOML with one table, named after the part.
 *
 * Operators write them by hand, so an unknown field is refused: most likely it is a misspelt one.
 */
object FeatureFile {
    /** Reads the table [name] of a file; refusals name the file and the field. */
    fun <T> read(path: Path, name: String, decode: (Fields) -> T): T {
        val text = try {
            Files.readString(path)
        } catch (e: IOException) {
            throw SettingsException("$path: cannot be read (${e.javaClass.simpleName})")
        }
        return try {
            parse(text, name, decode)
        } catch (e: MalformedException) {
            throw SettingsException("$path: ${e.message}")
        }
    }

    /** Reads the table [name] of the text of a file. */
    fun <T> parse(text: String, name: String, decode: (Fields) -> T): T {
        val root = SettingsReader.table(text)
        refuseUnknown(root, setOf(name))
        return decode(root.child(name))
    }

    /** Refuses a table with a field that is not in [known]. */
    fun refuseUnknown(fields: Fields, known: Set<String>) {
        val unknown = fields.map.keys.firstOrNull { it !in known } ?: return
        fields.fail(unknown, "is not a setting")
    }

    /** A whole number within [range]; null if it is absent. */
    fun count(fields: Fields, name: String, range: IntRange): Int? {
        val value = fields.longOrNull(name) ?: return null
        if (value !in range.first.toLong()..range.last.toLong()) fields.fail(name, "must be from ${range.first} to ${range.last}")
        return value.toInt()
    }

    /** A number from [least] to [most]; null if it is absent. */
    fun number(fields: Fields, name: String, least: Double, most: Double): Double? {
        val value = fields.numberOrNull(name) ?: return null
        if (value < least || value > most) fields.fail(name, "must be from $least to $most")
        return value
    }

    /** A duration in seconds from [least] to [most], as whole microseconds; null if it is absent. */
    fun seconds(fields: Fields, name: String, least: Double, most: Double): Long? =
        number(fields, name, least, most)?.let { (it * 1e6).toLong() }
}
