package linemast.app

/** Exit codes of the process; see README.md and docs/operations-duties.md. */
internal object ExitCode {
    /** The process did what it was asked to do. */
    const val OK = 0

    /** The store could not be read, or a file could not be written. */
    const val FAILED = 1

    /** The command line is wrong. */
    const val USAGE = 2

    /** The settings are wrong. */
    const val SETTINGS = 3

    /** The inspected actions violate a rule. */
    const val VIOLATIONS = 4
}
