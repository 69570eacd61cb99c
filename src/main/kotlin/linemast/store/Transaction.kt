package linemast.store

/**
 * A compare-and-swap condition: the latest change of [key] has [revision].
 *
 * Revision [ABSENT] requires that the key does not exist.
 */
class Precondition(val key: String, val revision: Long) {
    companion object {
        /** Revision of a key that does not exist. */
        const val ABSENT = 0L
    }
}

/** A change of one key in a transaction. */
sealed interface Write {
    /** The changed key. */
    val key: String

    /** Sets [key] to [value]. If a [lease] is given, the key is deleted when that lease expires or is revoked. */
    class Put(override val key: String, val value: Map<String, Any?>, val lease: Long? = null) : Write

    /** Deletes a key. */
    class Delete(override val key: String) : Write
}

/** Result of a transaction to which the store has responded. */
sealed interface CommitResult {
    /** All writes were applied, at [revision]. */
    class Applied(val revision: Long) : CommitResult

    /** Nothing was applied: the preconditions on the keys in [failed] did not hold. */
    class Conflict(val failed: List<String>) : CommitResult

    /** Nothing was applied: a lease that one of the writes names has expired. */
    data object NoSuchLease : CommitResult
}
