package linemast.control

import linemast.leadership.CancellationFreshness
import linemast.leadership.LeaderLease
import linemast.peers.PeerView
import linemast.scheduling.CommandPermission

/** Which heartbeats a leader may answer, and which commands the responses may carry. */
internal class HeartbeatPermissions(
    private val lease: LeaderLease,
    private val cancellationFreshness: CancellationFreshness,
    private val peers: PeerView,
    /** Whether there are other controllers, one of which could lead. */
    private val isReplicated: Boolean,
) {
    /** What a response may carry at [nowMicros]; null if there must be no response, since it would renew the worker's lease. */
    fun permissionAt(nowMicros: Long): CommandPermission? =
        if (!mayRenewWorkerLeases(nowMicros) || isProbablyPartitioned(nowMicros)) null else permittedCommands(nowMicros)

    private fun mayRenewWorkerLeases(nowMicros: Long) =
        lease.mayAnswerHeartbeats(nowMicros) && nowMicros < cancellationFreshness.renewalsAllowedUntilMicros

    private fun permittedCommands(nowMicros: Long): CommandPermission = when {
        !lease.mayIssueCommands(nowMicros) -> CommandPermission.NO_COMMANDS
        nowMicros < cancellationFreshness.startsAllowedUntilMicros -> CommandPermission.ALL
        else -> CommandPermission.NO_STARTS
    }

    /**
     * Neither the store nor a peer answers: most likely this controller is partitioned off, and another one leads. In an
     * outage of the store alone the peers are still reachable. Workers are better redirected than kept in degraded mode.
     */
    private fun isProbablyPartitioned(nowMicros: Long): Boolean =
        !lease.mayIssueCommands(nowMicros) && isReplicated && !peers.hasReachablePeer
}
