package linemast.scheduling

/** The parameters of one leader's term. */
class ClusterTerm(
    /** Increases with each term; commands and attempts with a lower fencing token are obsolete. */
    val fencingToken: Long,
    /** How long a leader that cannot reach the store goes on responding to heartbeats. */
    val degradedModeMicros: Long,
    /** The most tasks that the leader may hold at once; see [TaskBudget]. */
    val maxTasks: Int,
)
