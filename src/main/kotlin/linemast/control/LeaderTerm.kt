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

/** What all collaborators of a leader share during one term. */
internal class LeaderTerm(
    val store: KeyValueStore,
    /** Says whether this term may still act, and fences its writes. */
    val lease: LeaderLease,
    /** Ends with the term. */
    val scope: CoroutineScope,
    /** Owns the leader's state. */
    val eventLoop: LeaderEventLoop,
    val clock: Clock,
    /** Time of day in microseconds. */
    val wallMicros: () -> Long,
    val limits: StoreLimits,
) {
    /** Applies [writes] together if this term still leads and all [preconditions] hold. */
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

/** The result of a compare-and-swap that depends on the leadership. */
internal sealed interface TermCommitResult {
    /** The writes were applied as [revision]. */
    class Applied(val revision: Long) : TermCommitResult

    /** Nothing was applied: another controller may lead already. */
    data object LeadershipLost : TermCommitResult

    /** Nothing was applied: [failedKeys] have other revisions than expected. */
    class Conflict(val failedKeys: List<String>) : TermCommitResult

    /** The store gave no answer, so that the writes may have been applied, or there was nothing to commit. */
    data object NoResult : TermCommitResult
}
