package linemast.settings

/**
 * A service-level objective from the settings file.
 *
 * Each kind has only the properties that planning, scheduling and admission depend on.
 */
sealed interface Objective {
    /** The job class to which the objective applies; null if the file gives none. */
    val jobClass: String?

    /** Jobs start within [withinMicros] after they become ready. */
    data class Wait(override val jobClass: String?, val withinMicros: Long) : Objective

    /** Jobs finish within [withinMicros] after they become ready. */
    data class Finished(override val jobClass: String?, val withinMicros: Long) : Objective

    /** Jobs finish within [factor] times the deadline that the user gave them. */
    data class Deadline(override val jobClass: String?, val factor: Double) : Objective

    /** Jobs within the guaranteed quota of their team start within [withinMicros]. */
    data class Guarantee(override val jobClass: String?, val withinMicros: Long) : Objective

    /** An objective without effect: this version does not know its kind, or it lacks the duration that its kind needs. */
    data class Ignored(override val jobClass: String?) : Objective
}

/** Returns the shortest time within which jobs must start, by job class. */
fun List<Objective>.shortestWaitMicros(): Map<String?, Long> =
    filterIsInstance<Objective.Wait>().groupBy { it.jobClass }.mapValues { (_, objectives) -> objectives.minOf { it.withinMicros } }

/** Returns the shortest time within which jobs must finish, by job class. */
fun List<Objective>.shortestFinishedMicros(): Map<String?, Long> =
    filterIsInstance<Objective.Finished>().groupBy { it.jobClass }.mapValues { (_, objectives) -> objectives.minOf { it.withinMicros } }
