package linemast.scheduling

/** How much of its [TaskBudget] a leader uses. */
data class TaskLoad(
    /** Number of tasks that the leader holds: assigned, started and adopted ones, and ended ones that their worker still lists. */
    val held: Int,
    /** The most tasks that the leader may hold at once. */
    val max: Int,
)
