package linemast.settings

import org.luaj.vm2.Globals
import org.luaj.vm2.LoadState
import org.luaj.vm2.LuaError
import org.luaj.vm2.LuaTable
import org.luaj.vm2.LuaValue
import org.luaj.vm2.Varargs
import org.luaj.vm2.compiler.LuaC
import org.luaj.vm2.lib.BaseLib
import org.luaj.vm2.lib.DebugLib
import org.luaj.vm2.lib.MathLib
import org.luaj.vm2.lib.PackageLib
import org.luaj.vm2.lib.StringLib
import org.luaj.vm2.lib.TableLib
import java.io.IOException
import java.nio.file.Files
import java.nio.file.Path

/**
 * The operators' own settings: a Lua file that returns a table.
 *
 * The script sees the language, tables, texts and maths, but no files, no other modules and no time, and may
 * execute only so many instructions. It runs once, at start.
 */
object PolicyScript {
    private class Setting(val least: Double, val most: Double, val apply: (Builder, Double) -> Unit)

    private class Builder {
        private val defaults = Policy()
        var longInterval = defaults.longIntervalMicros
        var shortInterval = defaults.shortIntervalMicros
        var idleReturn = defaults.idleScaleInMicros
        var baselineIdle = defaults.baselineIdleScaleInMicros
        var leaderLease = defaults.leaderLeaseMicros
        var maxRented = defaults.maxScaleOutVcpus

        fun build() = Policy(longInterval, shortInterval, idleReturn, baselineIdle, leaderLease, maxRented)
    }

    private val settings = mapOf(
        "long_interval_s" to duration(10.0, 3_600.0) { micros -> longInterval = micros },
        "short_interval_s" to duration(1.0, 600.0) { micros -> shortInterval = micros },
        "idle_return_s" to duration(1.0, 86_400.0) { micros -> idleReturn = micros },
        "owned_idle_return_s" to duration(60.0, 31_536_000.0) { micros -> baselineIdle = micros },
        "leader_hold_s" to duration(1.0, 30.0) { micros -> leaderLease = micros },
        "most_rented_vcpus" to Setting(0.0, 1e6) { builder, value -> builder.maxRented = value },
    )

    /** Runs the script in a file. */
    fun read(path: Path): Policy {
        val text = try {
            Files.readString(path)
        } catch (e: IOException) {
            throw SettingsException("$path: cannot be read (${e.javaClass.simpleName})")
        }
        return parse(text, path.toString())
    }

    /** Runs a script; [name] is what errors call it. */
    fun parse(text: String, name: String): Policy {
        val table = run(text, name) as? LuaTable ?: throw SettingsException("$name: must return a table")
        val builder = Builder()
        for (key in table.keys()) {
            val setting = settings[key.tojstring()] ?: refuse(name, text, key, "is not a setting")
            val value = table.get(key)
            if (value.type() != LuaValue.TNUMBER) refuse(name, text, key, "must be a number")
            val number = value.todouble()
            if (!(number >= setting.least && number <= setting.most)) {
                refuse(name, text, key, "must be from ${setting.least} to ${setting.most}")
            }
            setting.apply(builder, number)
        }
        return builder.build()
    }

    private fun duration(least: Double, most: Double, set: Builder.(Long) -> Unit) =
        Setting(least, most) { builder, seconds -> builder.set((seconds * 1e6).toLong()) }

    private fun refuse(name: String, text: String, key: LuaValue, problem: String): Nothing {
        val field = key.tojstring()
        val line = text.lines().indexOfFirst { Regex("\\b${Regex.escape(field)}\\b").containsMatchIn(it) } + 1
        throw SettingsException("$name:${line.coerceAtLeast(1)}: $field: $problem")
    }

    private fun run(text: String, name: String): LuaValue {
        val globals = Globals()
        globals.load(BaseLib())
        // The other libraries enter themselves into its table of modules; it is taken away again below.
        globals.load(PackageLib())
        globals.load(TableLib())
        globals.load(StringLib())
        globals.load(MathLib())
        globals.load(InstructionLimit())
        LoadState.install(globals)
        LuaC.install(globals)
        for (unsafe in listOf("dofile", "loadfile", "load", "require", "package", "collectgarbage", "debug", "print")) {
            globals.set(unsafe, LuaValue.NIL)
        }
        // The one call whose memory is not bounded by the number of instructions.
        globals.get("string").set("rep", LuaValue.NIL)
        return try {
            globals.load(text, "@$name").call()
        } catch (e: LuaError) {
            throw SettingsException(e.message?.lineSequence()?.first() ?: "$name: failed")
        } catch (e: StackOverflowError) {
            throw SettingsException("$name: nests too deeply")
        } catch (e: OutOfMemoryError) {
            throw SettingsException("$name: needs too much memory")
        }
    }

    private class InstructionLimit : DebugLib() {
        private var left = MAX_INSTRUCTIONS

        override fun onInstruction(pc: Int, args: Varargs?, top: Int) {
            super.onInstruction(pc, args, top)
            if (--left < 0) throw LuaError("runs for too long")
        }
    }

    private const val MAX_INSTRUCTIONS = 200_000
}
