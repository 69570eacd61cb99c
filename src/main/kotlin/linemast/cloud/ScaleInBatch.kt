package linemast.cloud

/** Machines to scale in, in the order of [reasons], which maps the name of each machine to the reason. */
class ScaleInBatch(val reasons: Map<String, ScaleInReason>) {
    /** Names of the machines. */
    val names: List<String> get() = reasons.keys.toList()

    /** Whether no machine is to be scaled in. */
    val isEmpty: Boolean get() = reasons.isEmpty()

    /** Returns the machine names by reason, in the order of the batch. */
    fun namesByReason(): Map<ScaleInReason, List<String>> = reasons.entries.groupBy({ it.value }, { it.key })

    /** Shared values. */
    companion object {
        /** A batch without machines. */
        val EMPTY = ScaleInBatch(emptyMap())
    }
}
