package linemast.settings

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertThrows
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.io.TempDir
import java.nio.file.Files
import java.nio.file.Path

/** Checks that errors name the file and, if a field is invalid, the field: operators find the mistake by them. */
class SettingsFileTest {
    @TempDir
    private lateinit var directory: Path

    @Test
    fun `the error of each reader names a file that does not exist`() {
        val missing = directory.resolve("missing")
        for (read in listOf<(Path) -> Any>(SettingsReader::read, PolicyScript::read, AdmissionSettings::read)) {
            val error = assertThrows(SettingsException.Unreadable::class.java) { read(missing) }
            assertEquals(missing.toString(), error.file)
            assertEquals("$missing: cannot be read (NoSuchFileException)", error.message)
        }
    }

    @Test
    fun `the error for an unknown field of a feature file names the file, the field and the allowed fields`() {
        val file = directory.resolve("admission.toml")
        Files.writeString(file, "[admission]\nepoch = 2\n")
        val error = assertThrows(SettingsException.Malformed::class.java) { AdmissionSettings.read(file) }
        assertEquals("$file: admission.epoch: is not a setting", error.message)
    }

    @Test
    fun `the error for an invalid setting of a policy script names the file, the line and the allowed values`() {
        val file = directory.resolve("policy.lua")
        Files.writeString(file, "return {\n  idle_return_s = -1,\n}\n")
        val error = assertThrows(SettingsException.InvalidPolicyField::class.java) { PolicyScript.read(file) }
        assertEquals(2 to "idle_return_s", error.line to error.field)
        assertEquals("$file:2: idle_return_s: must be from 1.0 to 86400.0", error.message)
    }
}
