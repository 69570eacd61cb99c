package linemast.state

/**
 * Tokens for calls to an outside service, which refuses calls above a rate.
 *
 * [burst] tokens are there at first and come back at [perSecond]. A caller that is not vital leaves
 * [reserve] tokens untouched for those that are.
 */
class TokenBucket(private val perSecond: Double, private val burst: Double, private val reserve: Double) {
    private var tokens = burst
    private var filledMicros = Long.MIN_VALUE

    fun tryTake(count: Int, vital: Boolean, nowMicros: Long): Boolean {
        refill(nowMicros)
        val floor = if (vital) 0.0 else reserve
        // A call that asks for more than ever fits may go out alone once the bucket is full.
        if (tokens - count < floor && tokens < burst) return false
        tokens -= count
        return true
    }

    /** How long until [count] tokens can be taken if nobody else takes any. */
    fun waitMicros(count: Int, vital: Boolean, nowMicros: Long): Long {
        refill(nowMicros)
        val wanted = minOf(count + (if (vital) 0.0 else reserve), burst)
        return if (tokens >= wanted) 0 else ((wanted - tokens) / perSecond * 1e6).toLong() + 1
    }

    private fun refill(nowMicros: Long) {
        if (filledMicros != Long.MIN_VALUE) {
            tokens = minOf(burst, tokens + (nowMicros - filledMicros).coerceAtLeast(0) * perSecond / 1e6)
        }
        filledMicros = nowMicros
    }
}
