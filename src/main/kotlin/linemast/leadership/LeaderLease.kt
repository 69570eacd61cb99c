package linemast.leadership

import linemast.store.Precondition

/**
 * Tracks how long a leader may act, based on its confirmed lease renewals.
 *
 * All times are those of this process's steady clock. The lease in the store lasts at least its full time from when the store
 * executed a renewal, which is not before the renewal was sent. Therefore a lease that counts from when the renewal was sent,
 * less the possible clock drift and a margin, expires before the store lets another controller become the leader.
 *
 * If renewals fail, the leader first loses the permission to issue commands and enters degraded mode, in which it still
 * responds to heartbeats so that workers keep their tasks. Degraded mode is limited in time as well.
 *
 * @property fencingToken fencing token of the term; a later term has a higher one.
 * @param revision store revision at which the term began.
 * @param sentMicros when the request for the lease was sent.
 */
class LeaderLease(
    val fencingToken: Long,
    revision: Long,
    private val leaderLeaseMicros: Long,
    private val degradedModeMicros: Long,
    sentMicros: Long,
) {
    /** Precondition of every write of this term, so that none is applied once another controller leads. */
    val fence = Precondition(LeaderKeys.LEADER, revision)
    private var commandsUntilMicros = sentMicros + usableMicros(leaderLeaseMicros)
    private var degradedUntilMicros = commandsUntilMicros + degradedModeMicros

    /** Whether the term has ended, regardless of the time until its lease expires. */
    var hasEnded = false
        private set

    /** Whether the leader stepped down although it could still renew its lease. */
    var hasSteppedDown = false
        private set

    /** Records that the store confirmed a renewal sent at [sentMicros]. */
    fun recordRenewal(sentMicros: Long) {
        commandsUntilMicros = maxOf(commandsUntilMicros, sentMicros + usableMicros(leaderLeaseMicros))
        degradedUntilMicros = commandsUntilMicros + degradedModeMicros
    }

    /** Ends the term so that another controller can become the leader at once. */
    fun stepDown() {
        hasSteppedDown = true
        hasEnded = true
    }

    /** Ends the term, and degraded mode with it, because a higher fencing token exists or the lease has expired. */
    fun end() {
        hasEnded = true
    }

    /** Whether commands may be sent to workers now. */
    fun mayIssueCommands(nowMicros: Long): Boolean = !hasEnded && nowMicros < commandsUntilMicros

    /** Whether the leader may respond to heartbeats now, with or without commands, so that workers keep their tasks. */
    fun mayRespondToHeartbeats(nowMicros: Long): Boolean = !hasEnded && nowMicros < degradedUntilMicros

    companion object {
        private const val DRIFT_PER_MILLION = 1_000L
        private const val MILLION = 1_000_000L
        private const val MARGIN_MICROS = 200_000L

        /** Covers heartbeats in transit and clock errors. */
        private const val DEGRADED_MODE_MARGIN_MICROS = 6_000_000L

        /** Returns by how much two clocks, each off by at most 0.05%, may differ after [micros]; rounded up. */
        fun driftMicros(micros: Long): Long = micros * DRIFT_PER_MILLION / MILLION + 1

        private fun usableMicros(leaderLeaseMicros: Long) = leaderLeaseMicros - driftMicros(leaderLeaseMicros) - MARGIN_MICROS

        /**
         * Returns how long a leader that cannot reach the store may continue to respond to heartbeats.
         *
         * A task whose job was cancelled at another controller can run for this time plus a worker's lease, and has to end
         * within the time that a cancellation may take.
         *
         * @param leaseMicros lease of a worker's tasks.
         * @param cancellationDeadlineMicros time within which the tasks of a cancelled job have to end.
         */
        fun degradedModeMicros(leaseMicros: Long, cancellationDeadlineMicros: Long): Long {
            val marginMicros = DEGRADED_MODE_MARGIN_MICROS + driftMicros(cancellationDeadlineMicros)
            return (cancellationDeadlineMicros - leaseMicros - marginMicros).coerceAtLeast(0)
        }
    }
}
