package linemast.app

import linemast.control.ControllerConfiguration
import linemast.settings.AdmissionSettings
import linemast.settings.DutySettings
import linemast.settings.Features
import linemast.settings.Policy
import linemast.settings.PolicyScript
import linemast.settings.RecoverySettings
import linemast.settings.SettingsException
import linemast.settings.SettingsReader
import linemast.transport.EventLoop
import picocli.CommandLine.ParseResult
import java.nio.file.Path

/** Executes the command that [options] select; returns the exit code of the process. */
internal fun executeCommand(options: ParseResult): Int {
    if (options.hasMatchedOption(TRAINING_OPTION)) return ArchiveTraining.run()
    val settingsFile = options.file(CONFIG_OPTION)
    if (settingsFile == null) {
        System.err.println("linemast: the option $CONFIG_OPTION FILE is required")
        return ExitCode.USAGE
    }
    val configuration = try {
        readConfiguration(settingsFile, options)
    } catch (e: SettingsException) {
        System.err.println("linemast: ${e.message}")
        return ExitCode.SETTINGS
    }
    return when {
        options.hasMatchedOption(CHECK_OPTION) -> reportValid(settingsFile)
        options.hasMatchedOption(ACTIONS_OPTION) -> inspectActions(configuration, options)
        else -> serve(configuration)
    }
}

private fun readConfiguration(settingsFile: Path, options: ParseResult): ControllerConfiguration {
    val settings = SettingsReader.read(settingsFile)
    val features = Features(
        duties = options.file(DUTIES_OPTION)?.let(DutySettings::read),
        recovery = options.file(RECOVERY_OPTION)?.let(RecoverySettings::read),
        admission = options.file(ADMISSION_OPTION)?.let(AdmissionSettings::read),
    )
    val policy = options.file(POLICY_OPTION)?.let(PolicyScript::read) ?: Policy()
    return ControllerConfiguration(settings, policy, features)
}

private fun reportValid(settingsFile: Path): Int {
    println("$settingsFile: fine")
    return ExitCode.OK
}

private fun inspectActions(configuration: ControllerConfiguration, options: ParseResult): Int {
    val duties = configuration.features.duties ?: DutySettings()
    return InspectionCommand(configuration.settings, duties, options.file(ACTIONS_HTML_OPTION)).run()
}

private fun serve(configuration: ControllerConfiguration): Int {
    val loop = EventLoop()
    loop.run { Controller(configuration, loop).run() }
    return ExitCode.OK
}

private fun ParseResult.file(option: String): Path? = matchedOptionValue<Path?>(option, null)
