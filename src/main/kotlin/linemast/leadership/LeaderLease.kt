package linemast.leadership

import linemast.store.Precondition

/** The two keys leadership lives in. */
object LeaderKeys {
    /** Attached to the leader's lease; every write of the leader depends on its version. */
    const val LEADER = "leader"

    /** A lasting counter, raised by the transaction that takes the leadership. */
    const val FENCING_TOKEN = "helm"
}

/**
 * How long a leader may act, from the answers it got to its renewals.
 *
 * Times are the own steady clock's. A lease lives at least its full time from when the store carried out the
 * renewal, which was not before the renewal was sent; so counting from the sending, less what clocks may
 * drift and a margin, ends before the store lets anyone else in.
 */
class LeaderLease(
    val fencingToken: Long,
    revision: Long,
    private val leaderLeaseMicros: Long,
    private val degradedModeMicros: Long,
    sentMicros: Long,
) {
    /** Every write of this term depends on it, so that none is carried out once another one leads. */
    val fence = Precondition(LeaderKeys.LEADER, revision)
    private var untilMicros = sentMicros + usableMicros(leaderLeaseMicros)
    private var degradedUntilMicros = untilMicros + degradedModeMicros
    var ended = false
        private set

    /** A renewal sent at [sentMicros] was confirmed. */
    fun renewed(sentMicros: Long) {
        untilMicros = maxOf(untilMicros, sentMicros + usableMicros(leaderLeaseMicros))
        degradedUntilMicros = untilMicros + degradedModeMicros
    }

    /** Whether the leadership was given up while it could have been kept. */
    var hasSteppedDown = false
        private set

    /** Gives the leadership up, for another controller to take at once. */
    fun stepDown() {
        hasSteppedDown = true
        ended = true
    }

    /** A higher fencing token exists, or the lease is gone: nothing may be done any more, not even in grace. */
    fun end() {
        ended = true
    }

    /** Whether commands may be sent now. */
    fun mayIssueCommands(nowMicros: Long): Boolean = !ended && nowMicros < untilMicros

    /** Whether reports may be answered, with or without commands, so that workers keep their tasks. */
    fun mayAnswerHeartbeats(nowMicros: Long): Boolean = !ended && nowMicros < degradedUntilMicros

    companion object {
        private const val DRIFT_PER_MILLION = 1_000L
        private const val MARGIN_MICROS = 200_000L

        /** What a clock that may run off by 0.05% either way makes of a duration, rounded up generously. */
        fun driftMicros(micros: Long): Long = micros * DRIFT_PER_MILLION / 1_000_000 + 1

        private fun usableMicros(leaderLeaseMicros: Long) = leaderLeaseMicros - driftMicros(leaderLeaseMicros) - MARGIN_MICROS

        /**
         * How long a leader without its store may keep answering.
         *
         * A task of a job cancelled elsewhere can live on for the grace plus a lease, and that has to end
         * before a cancellation's time is over; the margin covers reports on their way and clocks.
         */
        fun degradedModeMicros(leaseMicros: Long, cancelMicros: Long): Long {
            val margin = GRACE_MARGIN_MICROS + driftMicros(cancelMicros)
            return (cancelMicros - leaseMicros - margin).coerceAtLeast(0)
        }

        private const val GRACE_MARGIN_MICROS = 6_000_000L
    }
}
