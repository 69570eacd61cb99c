package linemast.leadership

import linemast.settings.WorkerSettings

/**
 * How fresh this term's view of the cancellations is, and what that allows: the read barrier of leases and starts.
 *
 * Any controller may confirm a cancellation at any time. A leader that answers a heartbeat without stopping the job's tasks
 * has not seen it, so it was confirmed after [freshAsOfMicros]; an answer given before [renewalsAllowedUntilMicros] renews a
 * lease that ends within the time that a cancellation may take. This holds for each answer by itself: neither the number of
 * terms that follow each other matters, nor whether the leadership is still being renewed.
 *
 * @property maxRenewalStalenessMicros greatest age of the view at which a lease may be renewed.
 */
class CancellationFreshness(private val maxRenewalStalenessMicros: Long) {
    constructor(workers: WorkerSettings) : this(maxRenewalStalenessMicros(workers.leaseMicros, workers.cancellationDeadlineMicros))

    /** When the latest complete read of the store was sent; null before the first. */
    var freshAsOfMicros: Long? = null
        private set

    /** Takes in that everything which the store held when a read was sent at [sentMicros] has been applied. */
    fun recordRefresh(sentMicros: Long) {
        freshAsOfMicros = maxOf(freshAsOfMicros ?: sentMicros, sentMicros)
    }

    /** Until when answers may renew a lease; [NEVER] before the first read. */
    val renewalsAllowedUntilMicros: Long get() = freshAsOfMicros?.let { it + maxRenewalStalenessMicros } ?: NEVER

    /** Until when tasks may be started, as none of a job whose cancellation is confirmed may be; [NEVER] before the first read. */
    val startsAllowedUntilMicros: Long
        get() = freshAsOfMicros?.let { it + minOf(MAX_START_STALENESS_MICROS, maxRenewalStalenessMicros) } ?: NEVER

    /** Whether a view as of [asOfMicros] is too old for a lease to be renewed at [nowMicros]. */
    fun isTooStale(asOfMicros: Long, nowMicros: Long): Boolean = nowMicros >= asOfMicros + maxRenewalStalenessMicros

    companion object {
        /** A time before all others: what is allowed until then is not allowed at all. */
        const val NEVER = Long.MIN_VALUE
        private const val MAX_START_STALENESS_MICROS = 4_000_000L
        private const val MARGIN_MICROS = 3_000_000L

        /** With short times the margin is at most this part of what the lease leaves of a cancellation's time. */
        private const val MARGIN_DIVISOR = 4

        /**
         * For how long after the read a lease may be renewed: together with the lease that the last such answer gives it
         * stays below the time that a cancellation may take.
         *
         * A lease counts from when the heartbeat was sent, which is before its answer, so that the way of a message needs no
         * room. The margin is for clocks and for the time that a worker takes to end its tasks.
         */
        fun maxRenewalStalenessMicros(leaseMicros: Long, cancelMicros: Long): Long {
            val remainingMicros = cancelMicros - leaseMicros
            val marginMicros = minOf(MARGIN_MICROS, remainingMicros / MARGIN_DIVISOR)
            return remainingMicros - marginMicros - LeaderLease.driftMicros(cancelMicros)
        }
    }
}
