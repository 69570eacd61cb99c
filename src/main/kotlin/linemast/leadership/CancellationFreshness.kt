package linemast.leadership

import linemast.settings.WorkerSettings

/**
 * Up to when this term provably knows every cancellation that any controller has confirmed, and what follows for leases.
 *
 * A cancellation may be confirmed by any controller at any time. Whoever answers a report without stopping the job's
 * tasks does not know of it, so it was confirmed after [freshAsOfMicros]; an answer given before [renewalsAllowedUntilMicros]
 * renews a lease that is over within the time a cancellation has. That holds for each answer by itself: it does not
 * matter how many terms follow each other, nor whether the leadership is still being renewed.
 */
class CancellationFreshness(private val maxRenewalStalenessMicros: Long) {
    constructor(workers: WorkerSettings) : this(maxRenewalStalenessMicros(workers.leaseMicros, workers.cancelMicros))

    /** When the last read of the store that is complete was sent; null before the first. */
    var freshAsOfMicros: Long? = null
        private set

    /** Everything that the store held when a read was sent at [sentMicros] is known, and has been taken in. */
    fun refreshedAt(sentMicros: Long) {
        freshAsOfMicros = maxOf(freshAsOfMicros ?: sentMicros, sentMicros)
    }

    /** Until when what is known now allows answers that renew a lease. */
    val renewalsAllowedUntilMicros: Long get() = freshAsOfMicros?.let { it + maxRenewalStalenessMicros } ?: Long.MIN_VALUE

    /** Until when what is known now allows starts: a job whose cancellation is confirmed must not be started any more. */
    val startsAllowedUntilMicros: Long get() = freshAsOfMicros?.let { it + minOf(FRESH_MICROS, maxRenewalStalenessMicros) }
        ?: Long.MIN_VALUE

    /** Whether what was known at [sinceMicros] is too old for a lease to be renewed at [nowMicros]. */
    fun isTooStale(asOfMicros: Long, nowMicros: Long): Boolean = nowMicros >= asOfMicros + maxRenewalStalenessMicros

    companion object {
        private const val FRESH_MICROS = 4_000_000L
        private const val MARGIN_MICROS = 3_000_000L
        private const val MAX_MARGIN_PARTS = 4

        /**
         * For how long a lease may be renewed on what is known: with the lease that the last such answer gives it stays
         * below a cancellation's time. A lease counts from when the report was sent, which is before its answer, so that
         * flights need no room; the margin is for clocks and for what a worker takes to end its tasks.
         */
        fun maxRenewalStalenessMicros(leaseMicros: Long, cancelMicros: Long): Long {
            val left = cancelMicros - leaseMicros
            return left - minOf(MARGIN_MICROS, left / MAX_MARGIN_PARTS) - LeaderLease.driftMicros(cancelMicros)
        }
    }
}
