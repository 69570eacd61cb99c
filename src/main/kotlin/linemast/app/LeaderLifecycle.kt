package linemast.app

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.launch
import linemast.control.Leader
import linemast.control.LeaderEnvironment
import linemast.leadership.LeaderLease

/** Runs a [Leader] in a scope of its own while this controller holds the leader lease. */
internal class LeaderLifecycle(
    private val environment: LeaderEnvironment,
    private val scope: CoroutineScope,
    /** Called with true after a term has begun and with false before it ends. */
    private val onLeadershipChange: (Boolean) -> Unit,
) {
    /** The leader of the current term; null while this controller does not lead. */
    var leader: Leader? = null
        private set
    private var leaderScope: CoroutineScope? = null

    /** Begins a term: starts a [Leader] that holds [leaderLease]. */
    fun beginTerm(leaderLease: LeaderLease) {
        val termScope = CoroutineScope(scope.coroutineContext + SupervisorJob(scope.coroutineContext[Job]))
        val newLeader = Leader(environment, leaderLease, termScope)
        leaderScope = termScope
        leader = newLeader
        termScope.launch { newLeader.run() }
        onLeadershipChange(true)
    }

    /** Ends the term and cancels all coroutines of the leader. */
    fun endTerm() {
        onLeadershipChange(false)
        leader = null
        leaderScope?.cancel()
        leaderScope = null
    }
}
