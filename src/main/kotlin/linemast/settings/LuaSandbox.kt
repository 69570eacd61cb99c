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
 * Runs Lua scripts with the language and its table, string and maths libraries only. Scripts have no access to files, other modules
 * or the time, and may execute only a limited number of instructions.
 */
internal object LuaSandbox {
    private const val MAX_INSTRUCTIONS = 200_000
    private val UNSAFE_GLOBALS = listOf("dofile", "loadfile", "load", "require", "package", "collectgarbage", "debug", "print")

    /** Returns the result of the script; throws a [SettingsException.ScriptFailed] that names [file] if the script fails. */
    fun run(text: String, file: String): LuaValue {
        val globals = restrictedGlobals()
        return try {
            globals.load(text, "@$file").call()
        } catch (e: LuaError) {
            throw SettingsException.ScriptFailed(file, e.message?.lineSequence()?.first() ?: "$file: the script failed")
        } catch (e: StackOverflowError) {
            throw SettingsException.ScriptFailed(file, "$file: the script nests calls or expressions too deeply")
        } catch (e: OutOfMemoryError) {
            throw SettingsException.ScriptFailed(file, "$file: the script needs more memory than is available")
        }
    }

    private fun restrictedGlobals(): Globals {
        val globals = Globals()
        globals.load(BaseLib())
        // The other libraries register themselves in the module table of the package library, which is removed below.
        globals.load(PackageLib())
        globals.load(TableLib())
        globals.load(StringLib())
        globals.load(MathLib())
        globals.load(InstructionLimit())
        LoadState.install(globals)
        LuaC.install(globals)
        for (unsafe in UNSAFE_GLOBALS) globals.set(unsafe, LuaValue.NIL)
        // string.rep is the only call whose memory use is not bounded by the number of instructions.
        globals.get("string").set("rep", LuaValue.NIL)
        return globals
    }

    /** Stops a script that executes more than [MAX_INSTRUCTIONS] instructions. */
    private class InstructionLimit : DebugLib() {
        private var remaining = MAX_INSTRUCTIONS

        override fun onInstruction(pc: Int, args: Varargs?, top: Int) {
            super.onInstruction(pc, args, top)
            if (--remaining < 0) throw LuaError("executes too many instructions")
        }
    }
}
