package linemast.settings

import org.luaj.vm2.Globals
import org.luaj.vm2.LoadState
import org.luaj.vm2.LuaError
import org.luaj.vm2.LuaValue
import org.luaj.vm2.Varargs
import org.luaj.vm2.compiler.LuaC
import org.luaj.vm2.lib.BaseLib
import org.luaj.vm2.lib.DebugLib
import org.luaj.vm2.lib.MathLib
import org.luaj.vm2.lib.PackageLib
import org.luaj.vm2.lib.StringLib
import org.luaj.vm2.lib.TableLib

/**
 * Runs Lua scripts that see the language, tables, strings and maths, but no files, no other modules and no time, and may
 * execute only a limited number of instructions.
 */
internal object LuaSandbox {
    private const val MAX_INSTRUCTIONS = 200_000
    private val UNSAFE_GLOBALS = listOf("dofile", "loadfile", "load", "require", "package", "collectgarbage", "debug", "print")

    /** What the script returns; throws a [SettingsException.ScriptFailed] that names [file] if it does not run to its end. */
    fun run(text: String, file: String): LuaValue {
        val globals = restrictedGlobals()
        return try {
            globals.load(text, "@$file").call()
        } catch (e: LuaError) {
            throw SettingsException.ScriptFailed(file, e.message?.lineSequence()?.first() ?: "$file: failed")
        } catch (e: StackOverflowError) {
            throw SettingsException.ScriptFailed(file, "$file: nests too deeply")
        } catch (e: OutOfMemoryError) {
            throw SettingsException.ScriptFailed(file, "$file: needs too much memory")
        }
    }

    private fun restrictedGlobals(): Globals {
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
        for (unsafe in UNSAFE_GLOBALS) globals.set(unsafe, LuaValue.NIL)
        // The one call whose memory is not bounded by the number of instructions.
        globals.get("string").set("rep", LuaValue.NIL)
        return globals
    }

    /** Ends a script that executes too many instructions. */
    private class InstructionLimit : DebugLib() {
        private var remaining = MAX_INSTRUCTIONS

        override fun onInstruction(pc: Int, args: Varargs?, top: Int) {
            super.onInstruction(pc, args, top)
            if (--remaining < 0) throw LuaError("runs for too long")
        }
    }
}
