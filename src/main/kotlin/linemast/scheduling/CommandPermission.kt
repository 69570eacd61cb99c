package linemast.scheduling

/** Which commands the response to a heartbeat may carry. */
enum class CommandPermission {
    /** All commands: the leader knows every confirmed cancellation, and its term goes on. */
    ALL,

    /** A cancellation may be unknown to this leader: nothing may be started. */
    NO_STARTS,

    /** This leader's term may be over: nothing but stops of tasks that are known to be cancelled. */
    CANCELLATIONS_ONLY,
}
