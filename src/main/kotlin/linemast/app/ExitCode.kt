package linemast.app

/** Exit codes of the process; see README.md and docs/operations-duties.md. */
internal object ExitCode {
    /** The command succeeded. */
    const val OK = 0

    /** The store could not be read, or a file could not be written. */
    const val FAILED = 1

    /** The command line is invalid. */
    const val USAGE = 2

    /** The settings are invalid. */
    const val SETTINGS = 3

    /** The audited cloud actions violate a rule. */
    const val VIOLATIONS = 4
}
