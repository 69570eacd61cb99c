package linemast.scheduling

/** What distinguishes one leader's term from others. */
class ClusterTerm(
    /** Grows with each term; commands and attempts of lower ones are obsolete. */
    val fencingToken: Long,
    /** How long a leader without its store goes on answering heartbeats. */
    val degradedModeMicros: Long,
)
