package linemast.scheduling

/** Which commands the response to a heartbeat may carry. */
enum class CommandPermission {
    /** All commands. The leader knows every confirmed cancellation, and its term is in progress. */
    ALL,

    /** All commands except starts. A confirmed cancellation may be unknown to this leader. */
    NO_STARTS,

    /** Only stops of tasks that are known to be cancelled. This leader's term may be over. */
    CANCELLATIONS_ONLY,
}
