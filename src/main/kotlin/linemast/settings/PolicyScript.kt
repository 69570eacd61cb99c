package linemast.settings

import linemast.time.SECOND_MICROS
import org.luaj.vm2.LuaTable
import org.luaj.vm2.LuaValue
import java.nio.file.Path

/** Reads the operators' own settings, a Lua file that returns a table of numbers. It runs once, at start, in a [LuaSandbox]. */
object PolicyScript {
    /** A setting that must be from [min] to [max], and the policy with it applied. */
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

    /** Runs the script in a file; throws a [SettingsException] for one that fails or returns anything but a table of settings. */
    fun read(path: Path): Policy = parse(SettingsFile.text(path), path.toString())

    /** Runs a script; [file] is what errors call it. */
    fun parse(text: String, file: String): Policy {
        val table = LuaSandbox.run(text, file) as? LuaTable ?: throw SettingsException.ScriptFailed(file, "$file: must return a table")
        return table.keys().fold(Policy()) { policy, key ->
            val field = key.tojstring()
            val problem = problemWith(settings[field], table.get(key))
            if (problem != null) throw SettingsException.InvalidPolicyField(file, lineOf(field, text), field, problem)
            settings.getValue(field).applyTo(policy, table.get(key).todouble())
        }
    }

    /** Why [value] cannot be used for [setting]; null if it can. */
    private fun problemWith(setting: Setting?, value: LuaValue): String? = when {
        setting == null -> "is not a setting"
        value.type() != LuaValue.TNUMBER -> "must be a number"
        // A comparison with a value that is not a number is false.
        value.todouble() >= setting.min && value.todouble() <= setting.max -> null
        else -> "must be from ${setting.min} to ${setting.max}"
    }

    /** The first line that names [field]; the first of the file if none does, as for a name that the script computes. */
    private fun lineOf(field: String, text: String): Int {
        val name = Regex("\\b${Regex.escape(field)}\\b")
        return (text.lines().indexOfFirst(name::containsMatchIn) + 1).coerceAtLeast(1)
    }
}
