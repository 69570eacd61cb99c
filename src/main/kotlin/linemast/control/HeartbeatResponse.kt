package linemast.control

import linemast.domain.Command
import linemast.domain.Job
import linemast.leadership.CancellationFreshness
import linemast.leadership.LeaderLease

/**
 * The response to a worker's heartbeat, and until when it may be sent.
 *
 * The response is checked again when it is written to the connection, against the freshness of cancellations at its
 * creation: cancellations that arrived while it waited are not in it. A cancellation that this leader has applied and acknowledged
 * in the meantime makes a response that starts tasks of the job invalid.
 */
class HeartbeatResponse(
    /** Fencing token of the leader that responds. */
    val fencingToken: Long,
    /** Commands that the worker has to carry out. */
    val commands: List<Command>,
    /** Jobs whose tasks the response starts. */
    private val startedJobs: Collection<Job>,
    cancellationFreshness: CancellationFreshness,
    private val leaderLease: LeaderLease,
) {
    private val renewalsAllowedUntilMicros = cancellationFreshness.renewalsAllowedUntilMicros
    private val startsAllowedUntilMicros = cancellationFreshness.startsAllowedUntilMicros

    /** Whether the response may still be sent at [nowMicros]. */
    fun isValid(nowMicros: Long): Boolean = leaderLease.mayRespondToHeartbeats(nowMicros) &&
        nowMicros < renewalsAllowedUntilMicros &&
        (startedJobs.isEmpty() || mayStartTasks(nowMicros))

    private fun mayStartTasks(nowMicros: Long) =
        leaderLease.mayIssueCommands(nowMicros) && nowMicros < startsAllowedUntilMicros && startedJobs.none { it.cancelled }
}
