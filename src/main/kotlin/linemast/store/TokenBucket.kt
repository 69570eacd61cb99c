package linemast.store

import linemast.time.SECOND_MICROS

/**
 * A token bucket for calls to a service that refuses calls above a rate.
 *
 * It is full at first and holds at most the tokens of one second. Each call leaves the share of them untouched that is
 * reserved for more urgent ones.
 */
class TokenBucket(ratePerSecond: Double) {
    /** Tokens that are added in a second, and the most that the bucket holds; a lower rate drops what exceeds it. */
    var ratePerSecond = ratePerSecond
        set(value) {
            field = value
            tokens = minOf(tokens, value)
        }
    private var tokens = ratePerSecond
    private var lastRefillMicros: Long? = null

    /** Takes [count] tokens and returns true if a call of [priority] may have them now. */
    fun tryTake(count: Int, priority: RequestPriority, nowMicros: Long): Boolean {
        refill(nowMicros)
        // A call that asks for more than the bucket ever holds may go out alone once the bucket is full.
        if (tokens - count < reservedTokens(priority) && tokens < ratePerSecond) return false
        tokens -= count
        return true
    }

    /** How long until [count] tokens can be taken if nobody else takes any. */
    fun waitMicros(count: Int, priority: RequestPriority, nowMicros: Long): Long {
        refill(nowMicros)
        val required = minOf(count + reservedTokens(priority), ratePerSecond)
        return if (tokens >= required) 0 else ((required - tokens) / ratePerSecond * SECOND_MICROS).toLong() + 1
    }

    private fun reservedTokens(priority: RequestPriority) = ratePerSecond * priority.reservedShare

    private fun refill(nowMicros: Long) {
        lastRefillMicros?.let { last ->
            val elapsedMicros = (nowMicros - last).coerceAtLeast(0)
            tokens = minOf(ratePerSecond, tokens + elapsedMicros * ratePerSecond / SECOND_MICROS)
        }
        lastRefillMicros = nowMicros
    }
}
