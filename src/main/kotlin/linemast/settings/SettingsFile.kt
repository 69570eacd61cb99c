package linemast.settings

import linemast.serialization.MalformedException
import java.io.IOException
import java.nio.file.Files
import java.nio.file.Path

/** Reads files that operators wrote. Every failure is thrown as a [SettingsException] that names the file. */
internal object SettingsFile {
    /** Returns the text of a file. */
    fun text(path: Path): String = try {
        Files.readString(path)
    } catch (e: IOException) {
        throw SettingsException.Unreadable(path.toString(), e)
    }

    /** Returns the result of [decode] for the text of a file. */
    fun <T> read(path: Path, decode: (String) -> T): T {
        val text = text(path)
        return try {
            decode(text)
        } catch (e: MalformedException) {
            throw SettingsException.Malformed(path.toString(), e)
        }
    }
}
