package linemast.leadership

import linemast.store.Precondition

/**
 * How long a leader may act, from the answers to its renewals.
 *
 * Times are those of this process's steady clock. The store's lease lives at least its full time from when the store
 * executed the renewal, which was not before the renewal was sent. So counting from the sending, less what clocks may drift
 * and a margin, ends before the store lets another controller in.
 *
 * When the renewals fail, the leader first may no longer issue commands, and is in degraded mode: it answers heartbeats, so
 * that workers keep their tasks, until that is over too.
 *
 * @property fencingToken number of the term; a later term has a higher one.
 * @param revision store revision at which the term began.
 */
class LeaderLease(
    val fencingToken: Long,
    revision: Long,
    private val leaderLeaseMicros: Long,
    private val degradedModeMicros: Long,
    sentMicros: Long,
) {
    /** Every write of this term depends on it, so that none is applied once another controller leads. */
    val fence = Precondition(LeaderKeys.LEADER, revision)
    private var commandsUntilMicros = sentMicros + usableMicros(leaderLeaseMicros)
    private var degradedUntilMicros = commandsUntilMicros + degradedModeMicros

    /** Whether the term is over, whatever time its lease has left. */
    var hasEnded = false
        private set

    /** Whether the leader stepped down while it could have kept the leadership. */
    var hasSteppedDown = false
        private set

    /** Takes in that a renewal sent at [sentMicros] was confirmed. */
    fun recordRenewal(sentMicros: Long) {
        commandsUntilMicros = maxOf(commandsUntilMicros, sentMicros + usableMicros(leaderLeaseMicros))
        degradedUntilMicros = commandsUntilMicros + degradedModeMicros
    }

    /** Ends the term, for another controller to take the leadership at once. */
    fun stepDown() {
        hasSteppedDown = true
        hasEnded = true
    }

    /** Ends the term: a higher fencing token exists, or the lease is gone. Not even degraded mode is left. */
    fun end() {
        hasEnded = true
    }

    /** Whether commands may be sent to workers now. */
    fun mayIssueCommands(nowMicros: Long): Boolean = !hasEnded && nowMicros < commandsUntilMicros

    /** Whether heartbeats may be answered now, with or without commands, so that workers keep their tasks. */
    fun mayRespondToHeartbeats(nowMicros: Long): Boolean = !hasEnded && nowMicros < degradedUntilMicros

    companion object {
        private const val DRIFT_PER_MILLION = 1_000L
        private const val MILLION = 1_000_000L
        private const val MARGIN_MICROS = 200_000L

        /** Covers heartbeats on their way and clocks. */
        private const val DEGRADED_MODE_MARGIN_MICROS = 6_000_000L

        /** How far two clocks, each off by at most 0.05%, may differ after a duration; rounded up. */
        fun driftMicros(micros: Long): Long = micros * DRIFT_PER_MILLION / MILLION + 1

        private fun usableMicros(leaderLeaseMicros: Long) = leaderLeaseMicros - driftMicros(leaderLeaseMicros) - MARGIN_MICROS

        /**
         * How long a leader without its store may keep answering heartbeats.
         *
         * A task of a job that was cancelled at another controller can live on for that long plus a worker's lease, and has
         * to end before the time that a cancellation may take is over.
         *
         * @param leaseMicros lease of a worker's tasks.
         * @param cancelMicros time in which the tasks of a cancelled job have to end.
         */
        fun degradedModeMicros(leaseMicros: Long, cancelMicros: Long): Long {
            val marginMicros = DEGRADED_MODE_MARGIN_MICROS + driftMicros(cancelMicros)
            return (cancelMicros - leaseMicros - marginMicros).coerceAtLeast(0)
        }
    }
}
