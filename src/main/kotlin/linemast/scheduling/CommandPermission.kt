package linemast.scheduling

/** Which commands the answer to a report may carry. */
enum class CommandPermission {
    ALL,

    /** A cancellation may be unknown to this leader: nothing may be started. */
    NO_STARTS,

    /** This leader's term may be over: nothing but the end of what is known to be cancelled. */
    NO_COMMANDS,
}
