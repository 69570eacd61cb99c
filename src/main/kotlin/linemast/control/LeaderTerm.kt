package linemast.control

import kotlinx.coroutines.CoroutineScope
import linemast.leadership.LeaderKeys
import linemast.leadership.LeaderLease
import linemast.settings.StoreLimits
import linemast.store.CommitResult
import linemast.store.KeyValueStore
import linemast.store.Precondition
import linemast.store.RequestPriority
import linemast.store.Write
import linemast.time.Clock

/** What all components of a leader share during one term. */
internal class LeaderTerm(
    val store: KeyValueStore,
    /** Tells whether this term may still act, and provides the precondition that fences its writes. */
    val lease: LeaderLease,
    /** Scope of the term's coroutines; cancelled when the term ends. */
    val scope: CoroutineScope,
    /** Event loop that owns the leader's state. */
    val eventLoop: LeaderEventLoop,
    val clock: Clock,
    /** Returns the wall time in microseconds. */
    val wallMicros: () -> Long,
    val limits: StoreLimits,
) {
    /** Commits [writes] in one transaction, which the store applies only if this term still leads and all [preconditions] hold. */
    suspend fun commit(
        preconditions: List<Precondition>,
        writes: List<Write>,
        priority: RequestPriority = RequestPriority.NORMAL,
    ): TermCommitResult = when (val result = store.commit(listOf(lease.fence) + preconditions, writes, priority)) {
        is CommitResult.Applied -> TermCommitResult.Applied(result.revision)
        is CommitResult.Conflict ->
            if (LeaderKeys.LEADER in result.failed) TermCommitResult.LeadershipLost else TermCommitResult.Conflict(result.failed)
        CommitResult.NoSuchLease -> TermCommitResult.NoResult
    }
}

/** The result of a transaction that is applied only while this term leads. */
internal sealed interface TermCommitResult {
    /** The writes were applied as [revision]. */
    class Applied(val revision: Long) : TermCommitResult

    /** No write was applied, since the leader record has changed: another controller may lead already. */
    data object LeadershipLost : TermCommitResult

    /** No write was applied, since [failedKeys] do not have the revisions that the preconditions require. */
    class Conflict(val failedKeys: List<String>) : TermCommitResult

    /** The store gave no response, so that the writes may have been applied, or there was nothing to commit. */
    data object NoResult : TermCommitResult
}
