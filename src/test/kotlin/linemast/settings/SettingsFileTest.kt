package linemast.settings

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertThrows
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.io.TempDir
import java.nio.file.Files
import java.nio.file.Path

/** Errors name the file and, where one is at fault, the field. */
class SettingsFileTest {
    @TempDir
    private lateinit var directory: Path

    @Test
    fun `a file that does not exist is named by the error of each reader`() {
        val missing = directory.resolve("missing")
        for (read in listOf<(Path) -> Any>(SettingsReader::read, PolicyScript::read, AdmissionSettings::read)) {
            val error = assertThrows(SettingsException.Unreadable::class.java) { read(missing) }
            assertEquals(missing.toString(), error.file)
            assertEquals("$missing: cannot be read (NoSuchFileException)", error.message)
        }
    }

    @Test
    fun `an unknown field of a feature file is named with its file`() {
        val file = directory.resolve("admission.toml")
        Files.writeString(file, "[admission]\nepoch = 2\n")
        val error = assertThrows(SettingsException.Malformed::class.java) { AdmissionSettings.read(file) }
        assertEquals("$file: admission.epoch: is not a setting", error.message)
    }

    @Test
    fun `an invalid setting of a policy script is named with file and line`() {
        val file = directory.resolve("policy.lua")
        Files.writeString(file, "return {\n  idle_return_s = -1,\n}\n")
        val error = assertThrows(SettingsException.InvalidPolicyField::class.java) { PolicyScript.read(file) }
        assertEquals(2 to "idle_return_s", error.line to error.field)
        assertEquals("$file:2: idle_return_s: must be from 1.0 to 86400.0", error.message)
    }
}
