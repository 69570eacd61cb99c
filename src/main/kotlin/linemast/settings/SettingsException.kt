package linemast.settings

import linemast.serialization.MalformedException
import java.io.IOException

/**
 * A settings, feature or policy file that cannot be used.
 *
 * The message is one line that names the file and, where one is at fault, the field: it is printed as it is.
 *
 * @property file the file as the operator named it.
 */
sealed class SettingsException(val file: String, message: String, cause: Throwable? = null) : Exception(message, cause) {
    /** The file could not be read from disk. */
    class Unreadable(file: String, cause: IOException) :
        SettingsException(file, "$file: cannot be read (${cause.javaClass.simpleName})", cause)

    /** The file is not TOML, or one of its fields is missing, unknown or not a permitted value. */
    class Malformed(file: String, cause: MalformedException) : SettingsException(file, "$file: ${cause.message}", cause)

    /** The policy script could not be run, or returned something other than a table. */
    class ScriptFailed(file: String, message: String) : SettingsException(file, message)

    /** The policy script returned a table whose [field], first named in [line], is unknown or not a permitted value. */
    class InvalidPolicyField(file: String, val line: Int, val field: String, problem: String) :
        SettingsException(file, "$file:$line: $field: $problem")
}
