package linemast.control

import linemast.domain.Command
import linemast.leadership.CancellationFreshness
import linemast.leadership.LeaderLease

/**
 * The answer to a worker's report, and until when it may leave.
 *
 * It is checked again as it is written: what was known when it was made does not grow while it waits.
 */
class HeartbeatResponse(
    val fencingToken: Long,
    val commands: List<Command>,
    cancellationFreshness: CancellationFreshness,
    private val leaderLease: LeaderLease,
) {
    private val renewalsAllowedUntilMicros = cancellationFreshness.renewalsAllowedUntilMicros
    private val startsAllowedUntilMicros = cancellationFreshness.startsAllowedUntilMicros
    private val starts = commands.any { it is Command.Start }

    /** Whether the answer may still be sent. */
    fun isValid(nowMicros: Long): Boolean = leaderLease.mayAnswerHeartbeats(nowMicros) &&
        nowMicros < renewalsAllowedUntilMicros &&
        (!starts || (leaderLease.mayIssueCommands(nowMicros) && nowMicros < startsAllowedUntilMicros))
}
