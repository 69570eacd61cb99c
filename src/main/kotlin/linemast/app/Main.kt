package linemast.app

import linemast.settings.AdmissionSettings
import linemast.settings.DutySettings
import linemast.settings.Features
import linemast.settings.Policy
import linemast.settings.PolicyScript
import linemast.settings.RecoverySettings
import linemast.settings.Settings
import linemast.settings.SettingsException
import linemast.settings.SettingsReader
import linemast.transport.EventLoop
import picocli.CommandLine
import picocli.CommandLine.Model.CommandSpec
import picocli.CommandLine.Model.OptionSpec
import java.nio.file.Path
import kotlin.system.exitProcess

private const val VERSION = "linemast 0.1.0"
private const val EXIT_USAGE = 2
private const val EXIT_SETTINGS = 3

/** The command line; see README for the options and exit codes. */
fun main(args: Array<String>) {
    setUpLogging(System.getenv("LOG_LEVEL"))
    exitProcess(commandLine().execute(*args))
}

private fun setUpLogging(level: String?) {
    val known = when (level?.lowercase()) {
        "error", "warn", "info", "debug" -> level.lowercase()
        else -> "info"
    }
    System.setProperty("org.slf4j.simpleLogger.defaultLogLevel", known)
    System.setProperty("org.slf4j.simpleLogger.showThreadName", "false")
    System.setProperty("org.slf4j.simpleLogger.showShortLogName", "true")
    System.setProperty("org.slf4j.simpleLogger.showDateTime", "true")
    System.setProperty("org.slf4j.simpleLogger.dateTimeFormat", "HH:mm:ss.SSS")
}

private fun commandLine(): CommandLine {
    // Built without annotations, whose reading would cost reflection at every cold start.
    val spec = CommandSpec.create().name("linemast").version(VERSION)
    spec.usageMessage().description("A controller of the linemast cluster scheduler.")
    spec.addOption(fileOption("--config", "The settings file (TOML)."))
    spec.addOption(flag("--check", "Check the settings and exit."))
    spec.addOption(fileOption("--policy", "The operators' own settings (Lua); see docs/operations.md."))
    spec.addOption(fileOption("--duties", "Enables single-holder duties (TOML); see docs/operations-duties.md."))
    spec.addOption(fileOption("--admission", "Enables fair admission (TOML); see docs/operations-admission.md."))
    spec.addOption(fileOption("--recovery", "Enables the reconciliation after a total outage (TOML); see docs/operations-recovery.md."))
    spec.addOption(flag("--actions", "Print the latest actions at the cloud from the store, audited, and exit."))
    spec.addOption(fileOption("--actions-html", "With --actions: also write them as an HTML page."))
    spec.addOption(flag("--rehearse", "Run the usual paths once on loopback and exit; the build makes its class-data archive so."))
    spec.addOption(OptionSpec.builder("--help", "-h").usageHelp(true).description("Show this help.").build())
    spec.addOption(OptionSpec.builder("--version").versionHelp(true).description("Show the version.").build())
    val line = CommandLine(spec)
    line.executionStrategy = CommandLine.IExecutionStrategy { parsed ->
        CommandLine.executeHelpRequest(parsed) ?: execute(parsed)
    }
    line.parameterExceptionHandler = CommandLine.IParameterExceptionHandler { e, _ ->
        System.err.println("linemast: ${e.message}")
        EXIT_USAGE
    }
    return line
}

private fun fileOption(name: String, description: String): OptionSpec =
    OptionSpec.builder(name).paramLabel("FILE").type(Path::class.java).description(description).build()

private fun flag(name: String, description: String): OptionSpec =
    OptionSpec.builder(name).type(java.lang.Boolean.TYPE).arity("0").description(description).build()

private fun execute(parsed: CommandLine.ParseResult): Int {
    if (parsed.hasMatchedOption("--rehearse")) return Rehearsal.run()
    val file = parsed.matchedOptionValue<Path?>("--config", null)
    if (file == null) {
        System.err.println("linemast: --config FILE is missing")
        return EXIT_USAGE
    }
    val settings: Settings
    val policy: Policy
    val features: Features
    try {
        settings = SettingsReader.read(file)
        features = Features(
            duties = parsed.matchedOptionValue<Path?>("--duties", null)?.let(DutySettings::read),
            recovery = parsed.matchedOptionValue<Path?>("--recovery", null)?.let(RecoverySettings::read),
            admission = parsed.matchedOptionValue<Path?>("--admission", null)?.let(AdmissionSettings::read),
        )
        policy = parsed.matchedOptionValue<Path?>("--policy", null)?.let(PolicyScript::read) ?: Policy()
    } catch (e: SettingsException) {
        System.err.println("linemast: ${e.message}")
        return EXIT_SETTINGS
    }
    if (parsed.hasMatchedOption("--check")) {
        println("$file: fine")
        return 0
    }
    if (parsed.hasMatchedOption("--actions")) {
        val htmlFile = parsed.matchedOptionValue<Path?>("--actions-html", null)
        return InspectionCommand(settings, features.duties ?: DutySettings(), htmlFile).run()
    }
    val loop = EventLoop()
    loop.run { Controller(settings, policy, features, loop).run() }
    return 0
}
