package linemast.leadership

import linemast.settings.WorkerSettings

/**
 * Tracks how fresh the leader's view of the cancellations is, and limits lease renewals and task starts accordingly: a read
 * barrier for both.
 *
 * Any controller may confirm a cancellation at any time. A leader that responds to a heartbeat without stopping the tasks of
 * a cancelled job has not read the cancellation yet, so the cancellation was confirmed after [freshAsOfMicros]. A response
 * sent before [renewalsAllowedUntilMicros] renews the worker's lease, and that lease expires within the time that a
 * cancellation may take. This holds for each response on its own: it depends neither on how many terms follow each other
 * nor on whether the leader still renews its own lease.
 *
 * @property maxRenewalStalenessMicros maximum age of the view at which a worker's lease may be renewed.
 */
class CancellationFreshness(private val maxRenewalStalenessMicros: Long) {
    constructor(workers: WorkerSettings) : this(maxRenewalStalenessMicros(workers.leaseMicros, workers.cancellationDeadlineMicros))

    /** When the latest complete read of the store was sent; null before the first read. */
    var freshAsOfMicros: Long? = null
        private set

    /** Records that everything which the store held when a read was sent at [sentMicros] has been applied. */
    fun recordRefresh(sentMicros: Long) {
        freshAsOfMicros = maxOf(freshAsOfMicros ?: sentMicros, sentMicros)
    }

    /** Until when responses may renew a worker's lease; [NEVER] before the first read. */
    val renewalsAllowedUntilMicros: Long get() = freshAsOfMicros?.let { it + maxRenewalStalenessMicros } ?: NEVER

    /**
     * Until when tasks may be started; [NEVER] before the first read. The view may be at most [MAX_START_STALENESS_MICROS] old, and
     * never older than for a renewal. Controllers of earlier versions rely on the same bound: [CancellationBarrier] waits for it.
     */
    val startsAllowedUntilMicros: Long
        get() = freshAsOfMicros?.let { it + minOf(MAX_START_STALENESS_MICROS, maxRenewalStalenessMicros) } ?: NEVER

    /** Whether a view as of [asOfMicros] is too old for the renewal of a worker's lease at [nowMicros]. */
    fun isTooStale(asOfMicros: Long, nowMicros: Long): Boolean = nowMicros >= asOfMicros + maxRenewalStalenessMicros

    companion object {
        /** Earlier than every other time: an action that is allowed until this time is never allowed. */
        const val NEVER = Long.MIN_VALUE
        private const val MAX_START_STALENESS_MICROS = 4_000_000L
        private const val MARGIN_MICROS = 3_000_000L

        /** Limits the margin if the settings are short: to the cancellation time less the worker's lease, divided by this. */
        private const val MARGIN_DIVISOR = 4

        /** Returns the greatest age of the view at which a leader starts tasks, with the given settings. */
        fun maxStartStalenessMicros(workers: WorkerSettings): Long =
            minOf(MAX_START_STALENESS_MICROS, maxRenewalStalenessMicros(workers.leaseMicros, workers.cancellationDeadlineMicros))

        /**
         * Returns how long after a read was sent a worker's lease may be renewed. This time plus the lease granted by the last
         * permitted response is less than the time that a cancellation may take.
         *
         * A lease counts from when the worker sent the heartbeat, which is before the response, so message latency needs no
         * allowance. The margin covers clock errors and the time that a worker takes to end its tasks.
         *
         * @param leaseMicros lease of a worker's tasks.
         * @param cancellationDeadlineMicros time within which the tasks of a cancelled job have to end.
         */
        fun maxRenewalStalenessMicros(leaseMicros: Long, cancellationDeadlineMicros: Long): Long {
            val remainingMicros = cancellationDeadlineMicros - leaseMicros
            val marginMicros = minOf(MARGIN_MICROS, remainingMicros / MARGIN_DIVISOR)
            return remainingMicros - marginMicros - LeaderLease.driftMicros(cancellationDeadlineMicros)
        }
    }
}
