package linemast.admission

/** The jobs of one [team] with one [jobClass]. Flows compete for admission. */
data class Flow(val team: String, val jobClass: String) : Comparable<Flow> {
    /** Orders flows by team, then by job class. */
    override fun compareTo(other: Flow): Int = compareValuesBy(this, other, Flow::team, Flow::jobClass)

    override fun toString() = "$team/$jobClass"
}
