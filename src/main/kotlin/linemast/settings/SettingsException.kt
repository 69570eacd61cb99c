package linemast.settings

import linemast.serialization.MalformedException
import java.io.IOException

/**
 * Thrown if a settings, feature or policy file cannot be used.
 *
 * The message is printed unchanged. It is one line with the name of the file and, if a field is invalid, the name of the field.
 *
 * @property file the path of the file as the operator gave it.
 */
sealed class SettingsException(val file: String, message: String, cause: Throwable? = null) : Exception(message, cause) {
    /** The file cannot be read from disk. */
    class Unreadable(file: String, cause: IOException) :
        SettingsException(file, "$file: cannot be read (${cause.javaClass.simpleName})", cause)

    /** The file is not TOML, or a field is missing, unknown or has an invalid value. */
    class Malformed(file: String, cause: MalformedException) : SettingsException(file, "$file: ${cause.message}", cause)

    /** The policy script failed, or returned a value that is not a table. */
    class ScriptFailed(file: String, message: String) : SettingsException(file, message)

    /** The policy script returned a table whose [field], which first occurs in [line], is unknown or has an invalid value. */
    class InvalidPolicyField(file: String, val line: Int, val field: String, problem: String) :
        SettingsException(file, "$file:$line: $field: $problem")
}
