package linemast.settings

/**
 * A service-level objective that the operators state in the settings file.
 *
 * Each kind holds only what planning, scheduling and admission depend on.
 */
sealed interface Objective {
    /** The job class that the objective is for; null if the file names none. */
    val jobClass: String?

    /** Jobs start within [withinMicros] after they are ready. */
    data class Wait(override val jobClass: String?, val withinMicros: Long) : Objective

    /** Jobs finish within [withinMicros] after they are ready. */
    data class Finished(override val jobClass: String?, val withinMicros: Long) : Objective

    /** Jobs finish within [factor] times the deadline that their owner gave them. */
    data class Deadline(override val jobClass: String?, val factor: Double) : Objective

    /** Jobs within the quota guaranteed to their team start within [withinMicros]. */
    data class Guarantee(override val jobClass: String?, val withinMicros: Long) : Objective

    /** An objective that bounds nothing: of a kind unknown to this version, or without the duration that its kind needs. */
    data class Ignored(override val jobClass: String?) : Objective
}

/** The strictest bound on the time until jobs start, by job class. */
fun List<Objective>.shortestWaitMicros(): Map<String?, Long> =
    filterIsInstance<Objective.Wait>().groupBy { it.jobClass }.mapValues { (_, objectives) -> objectives.minOf { it.withinMicros } }

/** The strictest bound on the time until jobs finish, by job class. */
fun List<Objective>.shortestFinishedMicros(): Map<String?, Long> =
    filterIsInstance<Objective.Finished>().groupBy { it.jobClass }.mapValues { (_, objectives) -> objectives.minOf { it.withinMicros } }
