package linemast.app

import kotlin.system.exitProcess

private val LOG_LEVELS = setOf("error", "warn", "info", "debug")
private const val DEFAULT_LOG_LEVEL = "info"

/** Runs the command that [args] select; see README.md for the options and exit codes. */
fun main(args: Array<String>) {
    configureLogging(System.getenv("LOG_LEVEL"))
    exitProcess(commandLine().execute(*args))
}

/** Configures the logger; an unknown or missing [level] means [DEFAULT_LOG_LEVEL]. */
private fun configureLogging(level: String?) {
    val knownLevel = level?.lowercase()?.takeIf { it in LOG_LEVELS } ?: DEFAULT_LOG_LEVEL
    System.setProperty("org.slf4j.simpleLogger.defaultLogLevel", knownLevel)
    System.setProperty("org.slf4j.simpleLogger.showThreadName", "false")
    System.setProperty("org.slf4j.simpleLogger.showShortLogName", "true")
    System.setProperty("org.slf4j.simpleLogger.showDateTime", "true")
    System.setProperty("org.slf4j.simpleLogger.dateTimeFormat", "HH:mm:ss.SSS")
}
