package linemast.cloud

/** Machines to be removed, in this order: [reasons] holds why, by machine name. */
class ScaleInBatch(val reasons: Map<String, ScaleInReason>) {
    /** Names of the machines. */
    val names: List<String> get() = reasons.keys.toList()

    /** Whether no machine is to be removed. */
    val isEmpty: Boolean get() = reasons.isEmpty()

    /** Machine names by reason, in the order of the batch. */
    fun namesByReason(): Map<ScaleInReason, List<String>> = reasons.entries.groupBy({ it.value }, { it.key })

    /** Shared values. */
    companion object {
        /** No machine at all. */
        val EMPTY = ScaleInBatch(emptyMap())
    }
}
