package linemast.control

import linemast.leadership.CancellationFreshness
import linemast.leadership.LeaderLease
import linemast.peers.PeerView
import linemast.scheduling.CommandPermission

/** Decides which heartbeats a leader may respond to, and which commands the responses may carry. */
internal class HeartbeatPermissions(
    private val lease: LeaderLease,
    private val cancellationFreshness: CancellationFreshness,
    private val peers: PeerView,
    /** Whether there are other controllers that could lead. */
    private val isReplicated: Boolean,
) {
    /** Returns what a response may carry at [nowMicros], or null if the leader must not respond, since that renews the worker's lease. */
    fun permissionAt(nowMicros: Long): CommandPermission? =
        if (!mayRenewWorkerLeases(nowMicros) || isProbablyPartitioned(nowMicros)) null else permittedCommands(nowMicros)

    private fun mayRenewWorkerLeases(nowMicros: Long) =
        lease.mayRespondToHeartbeats(nowMicros) && nowMicros < cancellationFreshness.renewalsAllowedUntilMicros

    private fun permittedCommands(nowMicros: Long): CommandPermission = when {
        !lease.mayIssueCommands(nowMicros) -> CommandPermission.CANCELLATIONS_ONLY
        nowMicros < cancellationFreshness.startsAllowedUntilMicros -> CommandPermission.ALL
        else -> CommandPermission.NO_STARTS
    }

    /**
     * Whether this controller reaches neither the store nor a peer: most likely it is partitioned from them, and another
     * controller leads, so that workers are better redirected than kept in degraded mode. In an outage of the store alone
     * the peers are still reachable.
     */
    private fun isProbablyPartitioned(nowMicros: Long): Boolean =
        !lease.mayIssueCommands(nowMicros) && isReplicated && !peers.hasReachablePeer
}
