package linemast.settings

import linemast.time.SECOND_MICROS
import org.luaj.vm2.LuaTable
import org.luaj.vm2.LuaValue
import java.nio.file.Path

/** Reads the operators' [Policy] from a Lua file that returns a table of numbers. The script runs once, at startup, in a [LuaSandbox]. */
object PolicyScript {
    /** A setting from [min] to [max]; [applyTo] returns the policy with the setting changed. */
    private class Setting(val min: Double, val max: Double, val applyTo: (policy: Policy, value: Double) -> Policy)

    private val settings = mapOf(
        "long_interval_s" to duration(10.0, 3_600.0) { copy(fullPlanIntervalMicros = it) },
        "short_interval_s" to duration(1.0, 600.0) { copy(scalingIntervalMicros = it) },
        "idle_return_s" to duration(1.0, 86_400.0) { copy(idleScaleInMicros = it) },
        "owned_idle_return_s" to duration(60.0, 31_536_000.0) { copy(baselineIdleScaleInMicros = it) },
        "leader_hold_s" to duration(1.0, 30.0) { copy(leaderLeaseMicros = it) },
        "most_rented_vcpus" to Setting(0.0, 1e6) { policy, value -> policy.copy(maxScaleOutVcpus = value) },
    )

    private fun duration(min: Double, max: Double, withMicros: Policy.(Long) -> Policy) =
        Setting(min, max) { policy, seconds -> policy.withMicros((seconds * SECOND_MICROS).toLong()) }

    /** Runs the script in a file; throws a [SettingsException] if the script fails or does not return a table of valid settings. */
    fun read(path: Path): Policy = parse(SettingsFile.text(path), path.toString())

    /** Runs the script in [text]. Errors refer to it as [file]. */
    fun parse(text: String, file: String): Policy {
        val table = LuaSandbox.run(text, file) as? LuaTable ?: throw SettingsException.ScriptFailed(file, "$file: must return a table")
        return table.keys().fold(Policy()) { policy, key ->
            val field = key.tojstring()
            val problem = problemWith(settings[field], table.get(key))
            if (problem != null) throw SettingsException.InvalidPolicyField(file, lineOf(field, text), field, problem)
            settings.getValue(field).applyTo(policy, table.get(key).todouble())
        }
    }

    /** Returns why [value] is invalid for [setting]; null if it is valid. */
    private fun problemWith(setting: Setting?, value: LuaValue): String? = when {
        setting == null -> "is not a setting"
        value.type() != LuaValue.TNUMBER -> "must be a number"
        // NaN fails both comparisons and is rejected below.
        value.todouble() >= setting.min && value.todouble() <= setting.max -> null
        else -> "must be from ${setting.min} to ${setting.max}"
    }

    /** Returns the number of the first line that contains [field]; 1 if no line does, for example because the script computes the name. */
    private fun lineOf(field: String, text: String): Int {
        val name = Regex("\\b${Regex.escape(field)}\\b")
        return (text.lines().indexOfFirst(name::containsMatchIn) + 1).coerceAtLeast(1)
    }
}
