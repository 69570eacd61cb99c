package linemast.app

import picocli.CommandLine
import picocli.CommandLine.Model.CommandSpec
import picocli.CommandLine.Model.OptionSpec
import java.nio.file.Path

internal const val CONFIG_OPTION = "--config"
internal const val CHECK_OPTION = "--check"
internal const val POLICY_OPTION = "--policy"
internal const val DUTIES_OPTION = "--duties"
internal const val ADMISSION_OPTION = "--admission"
internal const val RECOVERY_OPTION = "--recovery"
internal const val ACTIONS_OPTION = "--actions"
internal const val ACTIONS_HTML_OPTION = "--actions-html"
internal const val TRAINING_OPTION = "--rehearse"

private const val VERSION = "linemast 0.1.0"

/** Returns the command line with all options; executing it calls [executeCommand]. */
internal fun commandLine(): CommandLine {
    val line = CommandLine(commandSpec())
    line.executionStrategy = CommandLine.IExecutionStrategy { parsed ->
        CommandLine.executeHelpRequest(parsed) ?: executeCommand(parsed)
    }
    line.parameterExceptionHandler = CommandLine.IParameterExceptionHandler { e, _ ->
        System.err.println("linemast: ${e.message}")
        ExitCode.USAGE
    }
    return line
}

/** Defines the options without annotations, which picocli would read by reflection at every cold start. */
private fun commandSpec(): CommandSpec {
    val spec = CommandSpec.create().name("linemast").version(VERSION)
    spec.usageMessage().description("Runs a controller of the linemast cluster scheduler.")
    spec.addOption(fileOption(CONFIG_OPTION, "Settings file (TOML)."))
    spec.addOption(flagOption(CHECK_OPTION, "Check the settings and the other given files, and exit."))
    spec.addOption(fileOption(POLICY_OPTION, "Policy script with the operators' own settings (Lua); see docs/operations.md."))
    spec.addOption(fileOption(DUTIES_OPTION, "TOML file that enables single-holder duties; see docs/operations-duties.md."))
    spec.addOption(fileOption(ADMISSION_OPTION, "TOML file that enables fair admission; see docs/operations-admission.md."))
    spec.addOption(
        fileOption(RECOVERY_OPTION, "TOML file that enables reconciliation after a total outage; see docs/operations-recovery.md."),
    )
    spec.addOption(flagOption(ACTIONS_OPTION, "Print and audit the latest cloud actions recorded in the key-value store, and exit."))
    spec.addOption(fileOption(ACTIONS_HTML_OPTION, "With --actions: also write the report to this file as an HTML page."))
    spec.addOption(flagOption(TRAINING_OPTION, "Run the common code paths once on loopback and exit (for the build's class-data archive)."))
    spec.addOption(OptionSpec.builder("--help", "-h").usageHelp(true).description("Show this help.").build())
    spec.addOption(OptionSpec.builder("--version").versionHelp(true).description("Show the version.").build())
    return spec
}

private fun fileOption(name: String, description: String): OptionSpec =
    OptionSpec.builder(name).paramLabel("FILE").type(Path::class.java).description(description).build()

private fun flagOption(name: String, description: String): OptionSpec =
    OptionSpec.builder(name).type(java.lang.Boolean.TYPE).arity("0").description(description).build()
