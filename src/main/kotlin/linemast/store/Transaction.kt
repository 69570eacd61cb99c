package linemast.store

/**
 * A compare-and-swap condition: the latest change of [key] has [revision].
 *
 * Revision [ABSENT] stands for a key that does not exist.
 */
class Precondition(val key: String, val revision: Long) {
    companion object {
        /** The revision that a key without an entry has in a precondition. */
        const val ABSENT = 0L
    }
}

/** A change of one key in a transaction. */
sealed interface Write {
    /** The key that is changed. */
    val key: String

    /** Sets [value]. With a [lease] the key is deleted when that lease expires or is revoked. */
    class Put(override val key: String, val value: Map<String, Any?>, val lease: Long? = null) : Write

    /** Deletes a key. */
    class Delete(override val key: String) : Write
}

/** The outcome of a transaction that the store has answered. */
sealed interface CommitResult {
    /** All writes were applied, at [revision]. */
    class Applied(val revision: Long) : CommitResult

    /** Nothing was applied: the preconditions on the keys in [failed] did not hold. */
    class Conflict(val failed: List<String>) : CommitResult

    /** Nothing was applied: a lease that a value is attached to has expired. */
    data object NoSuchLease : CommitResult
}
