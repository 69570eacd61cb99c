package linemast.control

import linemast.domain.Command
import linemast.leadership.CancellationFreshness
import linemast.leadership.LeaderLease

/**
 * The response to a worker's heartbeat, and until when it may be sent.
 *
 * It is checked again as it is written to the connection, by what was known when it was made: news that came while it
 * waited is not in it.
 */
class HeartbeatResponse(
    /** The token of the leader that responds. */
    val fencingToken: Long,
    /** What the worker has to do. */
    val commands: List<Command>,
    cancellationFreshness: CancellationFreshness,
    private val leaderLease: LeaderLease,
) {
    private val renewalsAllowedUntilMicros = cancellationFreshness.renewalsAllowedUntilMicros
    private val startsAllowedUntilMicros = cancellationFreshness.startsAllowedUntilMicros
    private val startsTasks = commands.any { it is Command.Start }

    /** Whether the response may still be sent at [nowMicros]. */
    fun isValid(nowMicros: Long): Boolean = leaderLease.mayRespondToHeartbeats(nowMicros) &&
        nowMicros < renewalsAllowedUntilMicros &&
        (!startsTasks || mayStartTasks(nowMicros))

    private fun mayStartTasks(nowMicros: Long) = leaderLease.mayIssueCommands(nowMicros) && nowMicros < startsAllowedUntilMicros
}
