package linemast.admission

/** What competes for admission: the jobs of one class of one team. */
data class Flow(val team: String, val jobClass: String) : Comparable<Flow> {
    override fun compareTo(other: Flow): Int = compareValuesBy(this, other, Flow::team, Flow::jobClass)

    override fun toString() = "$team/$jobClass"
}
