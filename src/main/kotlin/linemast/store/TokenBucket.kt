package linemast.store

/**
 * Tokens for calls to an outside service, which refuses calls above a rate.
 *
 * As many as come in a second are there at first and at most. A call leaves the part of them untouched that is
 * kept for more urgent ones.
 */
class TokenBucket(ratePerSecond: Double) {
    /** Tokens that come in a second; what is there stays when it changes, up to the new burst. */
    var ratePerSecond = ratePerSecond
        set(value) {
            field = value
            tokens = minOf(tokens, value)
        }
    private var tokens = ratePerSecond
    private var filledMicros = Long.MIN_VALUE

    /** Takes [count] tokens if [priority] may have them now. */
    fun tryTake(count: Int, priority: RequestPriority, nowMicros: Long): Boolean {
        refill(nowMicros)
        // A call that asks for more than ever fits may go out alone once the bucket is full.
        if (tokens - count < reserve(priority) && tokens < ratePerSecond) return false
        tokens -= count
        return true
    }

    /** How long until [count] tokens can be taken if nobody else takes any. */
    fun waitMicros(count: Int, priority: RequestPriority, nowMicros: Long): Long {
        refill(nowMicros)
        val wanted = minOf(count + reserve(priority), ratePerSecond)
        return if (tokens >= wanted) 0 else ((wanted - tokens) / ratePerSecond * 1e6).toLong() + 1
    }

    private fun reserve(priority: RequestPriority) = ratePerSecond * priority.reservedShare

    private fun refill(nowMicros: Long) {
        if (filledMicros != Long.MIN_VALUE) {
            tokens = minOf(ratePerSecond, tokens + (nowMicros - filledMicros).coerceAtLeast(0) * ratePerSecond / 1e6)
        }
        filledMicros = nowMicros
    }
}
